package inifile

import (
	"regexp"
	"strings"
	"unicode/utf8"
)

var (
	sectionLine = regexp.MustCompile(`^\[([^\[\]]*)\]\s*(?:[#;].*)?$`)
	keyLine     = regexp.MustCompile(`^([A-Za-z0-9_.-]+)\s*=\s*(.*)$`)
)

const byteOrderMark = "\uFEFF"

// keyRef identifies one key of one section.
type keyRef struct{ section, key string }

// locator records the line numbers of sections and keys. Its text contains the lines that the INI parser can read;
// every other line is blank in it and has a finding, so that an invalid line hides no other fault.
type locator struct {
	file     string
	sections map[string]int      // line of the first header of each section, by canonical name
	order    []string            // canonical section names in file order
	keys     map[keyRef]int      // line of each key
	keyOrder map[string][]string // keys in file order, by canonical section name
	findings Findings
	text     strings.Builder
}

func locate(file string, text []byte) *locator {
	l := &locator{
		file:     file,
		sections: map[string]int{},
		keys:     map[keyRef]int{},
		keyOrder: map[string][]string{},
	}
	section := ""
	for i, line := range strings.Split(strings.TrimPrefix(string(text), byteOrderMark), "\n") {
		readable := ""
		readable, section = l.scan(i+1, strings.TrimSpace(line), section)
		l.text.WriteString(readable)
		l.text.WriteByte('\n')
	}
	return l
}

const (
	notText      = "the line is not valid UTF-8 text"
	acceptedText = "UTF-8 without NUL characters"
)

func isText(line string) bool { return utf8.ValidString(line) && !strings.ContainsRune(line, 0) }

// CheckText returns a finding for each line that is not text.
func CheckText(file string, text []byte) Findings {
	var findings Findings
	for i, line := range strings.Split(string(text), "\n") {
		if !isText(line) {
			findings = append(findings, Finding{File: file, Line: i + 1, Message: notText, Accepted: acceptedText})
		}
	}
	return findings
}

// scan checks one line. It returns the line for the INI parser, or "", and the section of the next line.
func (l *locator) scan(number int, line, section string) (readable, next string) {
	switch {
	case !isText(line):
		l.add(number, section, "", notText, acceptedText)
		return "", section
	case line == "" || line[0] == '#' || line[0] == ';':
		return "", section
	case line[0] == '[':
		return l.scanSection(number, line, section)
	}
	return l.scanKey(number, line, section), section
}

func (l *locator) scanSection(number int, line, section string) (readable, next string) {
	match := sectionLine.FindStringSubmatch(line)
	name := ""
	if match != nil {
		name = strings.Join(strings.Fields(match[1]), " ")
	}
	if name == "" {
		l.add(number, "", "", "the section header cannot be read", "[section] or [section NAME]")
		return "", section
	}
	if first, exists := l.sections[name]; exists {
		l.add(number, name, "", "the section is already defined in line "+itoa(first), "one section of this name")
	} else {
		l.sections[name] = number
		l.order = append(l.order, name)
	}
	return "[" + name + "]", name
}

func (l *locator) scanKey(number int, line, section string) string {
	match := keyLine.FindStringSubmatch(line)
	if match == nil {
		l.add(number, section, "", "the line is neither a section, a key nor a comment", "key = value")
		return ""
	}
	key, value := match[1], match[2]
	if section == "" {
		l.add(number, "", key, "the key stands before the first section", "keys below a section header")
		return ""
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		l.add(number, section, key, "values over several lines are not supported", "a value on one line")
		return ""
	}
	ref := keyRef{section, key}
	if first, exists := l.keys[ref]; exists {
		l.add(number, section, key, "the key is already set in line "+itoa(first), "one value per key")
		return ""
	}
	l.keys[ref] = number
	l.keyOrder[section] = append(l.keyOrder[section], key)
	return line
}

func (l *locator) add(line int, section, key, message, accepted string) {
	l.findings = append(l.findings, Finding{l.file, line, section, key, message, accepted})
}
