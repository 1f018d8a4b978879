package inifile

import (
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Format parses one type of value. Accepted describes the valid values in findings.
type Format[T any] struct {
	Accepted string
	Parse    func(text string) (T, error) // the error describes the fault in the text
}

// Required returns the value of key. For a missing or invalid value it records a finding and returns false.
func Required[T any](s *Section, key string, format Format[T]) (T, bool) {
	var none T
	if !s.Has(key) {
		s.Add(key, "the key is missing", key+" = "+format.Accepted)
		return none, false
	}
	return parse(s, key, format)
}

// Optional returns the value of key, or fallback if the key is absent or its value is invalid. An invalid value is
// recorded as a finding.
func Optional[T any](s *Section, key string, format Format[T], fallback T) T {
	if !s.Has(key) {
		return fallback
	}
	if value, ok := parse(s, key, format); ok {
		return value
	}
	return fallback
}

func parse[T any](s *Section, key string, format Format[T]) (T, bool) {
	text, _ := s.Raw(key)
	value, err := format.Parse(text)
	if err != nil {
		s.Add(key, err.Error(), format.Accepted)
		return value, false
	}
	return value, true
}

// Limits of values. They are far above the size of any real host and low enough that sums of many values fit in an
// int64.
const (
	maxMilliCPU     = 1_000_000 * 1000 // thousandths of a processor
	maxMemoryBytes  = 1 << 50          // 1 PiB
	maxAccelerators = 1_000_000        // devices
	maxDuration     = 10 * 365 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name accepts names that are safe in store keys and URL paths, in the syntax of DNS labels (RFC 1123).
var Name = Format[string]{
	Accepted: "1 to 63 lower-case letters, digits and hyphens",
	Parse: func(text string) (string, error) {
		if !namePattern.MatchString(text) {
			return "", errors.Errorf("%q is not a name", text)
		}
		return text, nil
	},
}

// YesNo accepts "yes" and "no".
var YesNo = Format[bool]{
	Accepted: "yes or no",
	Parse: func(text string) (bool, error) {
		switch text {
		case "yes":
			return true, nil
		case "no":
			return false, nil
		}
		return false, errors.Errorf("%q is neither yes nor no", text)
	},
}

// OneOf accepts one of the given words.
func OneOf(words ...string) Format[string] {
	return Format[string]{
		Accepted: strings.Join(words, " or "),
		Parse: func(text string) (string, error) {
			for _, word := range words {
				if text == word {
					return text, nil
				}
			}
			return "", errors.Errorf("%q is not one of the accepted words", text)
		},
	}
}

// List accepts values separated by commas, each at most once.
func List[T comparable](element Format[T]) Format[[]T] {
	return Format[[]T]{
		Accepted: "a comma-separated list of: " + element.Accepted,
		Parse: func(text string) ([]T, error) {
			var values []T
			seen := map[T]bool{}
			for _, part := range strings.Split(text, ",") {
				value, err := element.Parse(strings.TrimSpace(part))
				if err != nil {
					return nil, err
				}
				if seen[value] {
					return nil, errors.Errorf("%q is listed twice", strings.TrimSpace(part))
				}
				seen[value] = true
				values = append(values, value)
			}
			return values, nil
		},
	}
}

// Integer accepts whole numbers from low to high.
func Integer(low, high int64) Format[int64] {
	return Format[int64]{
		Accepted: "a whole number from " + strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10),
		Parse: func(text string) (int64, error) {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return 0, errors.Errorf("%q is not a whole number", text)
			}
			if n < low || n > high {
				return 0, errors.Errorf("%d is out of range", n)
			}
			return n, nil
		},
	}
}

// Accelerators accepts a number of whole accelerators.
var Accelerators = Integer(0, maxAccelerators)

// Duration accepts durations from low to high in the notation of time.ParseDuration.
func Duration(low, high time.Duration) Format[time.Duration] {
	return Format[time.Duration]{
		Accepted: "a duration such as 250ms, 90s, 15m or 2h, from " + low.String() + " to " + high.String(),
		Parse: func(text string) (time.Duration, error) {
			d, err := time.ParseDuration(text)
			if err != nil {
				return 0, errors.Errorf("%q is not a duration with a unit", text)
			}
			if d < low || d > high {
				return 0, errors.Errorf("%s is out of range", text)
			}
			return d, nil
		},
	}
}

// AnyDuration accepts durations from 1 ms to 10 years.
var AnyDuration = Duration(time.Millisecond, maxDuration)

// CPU accepts a number of processors, as a whole number, a decimal or in thousandths ("m"), and returns thousandths.
// low is the smallest accepted number of thousandths.
func CPU(low int64) Format[int64] {
	return Format[int64]{
		Accepted: atLeast(low) + "processors such as 2, 1.5 or 500m (thousandths)",
		Parse: func(text string) (int64, error) {
			milli, err := parseMilliCPU(text)
			if err != nil {
				return 0, err
			}
			return inRange(milli, low, maxMilliCPU, text)
		},
	}
}

var cpuPattern = regexp.MustCompile(`^([0-9]{1,12})(?:\.([0-9]{1,3}))?$`)

func parseMilliCPU(text string) (int64, error) {
	if milli, found := strings.CutSuffix(text, "m"); found {
		if n, err := strconv.ParseUint(milli, 10, 63); err == nil {
			return int64(n), nil
		}
		return 0, errors.Errorf("%q is not a number of processors", text)
	}
	match := cpuPattern.FindStringSubmatch(text)
	if match == nil {
		return 0, errors.Errorf("%q is not a number of processors with at most three decimals", text)
	}
	whole, _ := strconv.ParseInt(match[1], 10, 64)
	thousandths, _ := strconv.ParseInt((match[2] + "000")[:3], 10, 64)
	return whole*1000 + thousandths, nil
}

// Memory accepts a whole number with a unit (B, KiB, MiB, GiB, TiB) and returns bytes. low is the smallest accepted
// number of bytes.
func Memory(low int64) Format[int64] {
	return Format[int64]{
		Accepted: atLeast(low) + "memory such as 512MiB or 4GiB (units B, KiB, MiB, GiB, TiB)",
		Parse: func(text string) (int64, error) {
			bytes, err := parseMemory(text)
			if err != nil {
				return 0, err
			}
			return inRange(bytes, low, maxMemoryBytes, text)
		},
	}
}

var memoryPattern = regexp.MustCompile(`^([0-9]{1,18}) ?(B|KiB|MiB|GiB|TiB)$`)

var memoryUnits = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}

func parseMemory(text string) (int64, error) {
	match := memoryPattern.FindStringSubmatch(text)
	if match == nil {
		return 0, errors.Errorf("%q is not a whole number with a unit of memory", text)
	}
	n, _ := strconv.ParseInt(match[1], 10, 64)
	unit := memoryUnits[match[2]]
	if n > math.MaxInt64/unit {
		return 0, errors.Errorf("%s is out of range", text)
	}
	return n * unit, nil
}

func atLeast(low int64) string {
	if low > 0 {
		return "a positive amount of "
	}
	return "an amount of "
}

func inRange(n, low, high int64, text string) (int64, error) {
	if n < low || n > high {
		return 0, errors.Errorf("%s is out of range", text)
	}
	return n, nil
}

// Address accepts a literal IP address.
var Address = Format[netip.Addr]{
	Accepted: "an IP address",
	Parse: func(text string) (netip.Addr, error) {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Addr{}, errors.Errorf("%q is not an IP address", text)
		}
		return address, nil
	},
}

// AddressPort accepts a literal IP address with a port. Host names are rejected because no names are resolved.
var AddressPort = Format[netip.AddrPort]{
	Accepted: "an IP address and port such as 10.1.0.5:7400 or [fd00::5]:7400",
	Parse: func(text string) (netip.AddrPort, error) {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			return netip.AddrPort{}, errors.Errorf("%q is not an IP address with a port", text)
		}
		if address.Addr().Zone() != "" {
			return netip.AddrPort{}, errors.Errorf("%q names a network zone", text)
		}
		return address, nil
	},
}
