package settings

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"fulmarcourse.example/core/inifile"
)

// reachableAddress accepts an address that other hosts can dial: an IP address with a port, except for the unspecified
// addresses 0.0.0.0 and ::, which are valid for listeners only.
var reachableAddress = inifile.Format[netip.AddrPort]{
	Accepted: inifile.AddressPort.Accepted + ", not 0.0.0.0 or ::",
	Parse: func(text string) (netip.AddrPort, error) {
		address, err := inifile.AddressPort.Parse(text)
		if err == nil && address.Addr().IsUnspecified() {
			err = errors.Errorf("%q cannot be reached from other hosts", text)
		}
		return address, err
	},
}

// endpoint accepts an HTTP URL whose host is a literal IP address. Host names are rejected because no names are
// resolved.
var endpoint = inifile.Format[url.URL]{
	Accepted: "http://IP:port, for example http://10.1.0.9:2379",
	Parse: func(text string) (url.URL, error) {
		parsed, err := url.Parse(text)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return url.URL{}, errors.Errorf("%q is not an HTTP URL", text)
		}
		if _, err := reachableAddress.Parse(parsed.Host); err != nil {
			return url.URL{}, err
		}
		if strings.Trim(parsed.Path, "/") != "" || parsed.RawQuery != "" || parsed.User != nil || parsed.Fragment != "" {
			return url.URL{}, errors.Errorf("%q has parts other than scheme, IP address and port", text)
		}
		return url.URL{Scheme: parsed.Scheme, Host: parsed.Host}, nil
	},
}

var filePath = inifile.Format[string]{
	Accepted: "a file path",
	Parse: func(text string) (string, error) {
		if text == "" {
			return "", errors.New("the path is empty")
		}
		return text, nil
	},
}
