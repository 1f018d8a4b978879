package inifile

import (
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

func itoa(n int) string { return strconv.Itoa(n) }

// noChildSections disables child sections, which inherit keys in ini.v1: no section name contains this delimiter.
const noChildSections = "\x00"

// File is a parsed INI file with the findings collected so far. It is not safe for concurrent use.
type File struct {
	name     string
	values   *ini.File
	locator  *locator
	sections []*Section
	findings Findings
}

// Section is one section of a File.
type Section struct {
	Name  string // canonical header, for example "service quotes"
	Type  string // first word of the header
	Label string // rest of the header; may be empty
	Line  int

	file   *File
	values *ini.Section
}

// Open parses text; name is the file name used in findings. Syntax faults are recorded as findings.
func Open(name string, text []byte) *File {
	located := locate(name, text)
	f := &File{name: name, locator: located, findings: located.findings}
	values, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    noChildSections,
	}, []byte(located.text.String()))
	if err != nil {
		f.Add(0, "", "", "the file cannot be parsed: "+err.Error(), "INI text")
		return f
	}
	f.values = values
	for _, header := range located.order {
		f.sections = append(f.sections, f.newSection(header))
	}
	return f
}

func (f *File) newSection(header string) *Section {
	sectionType, label, _ := strings.Cut(header, " ")
	return &Section{
		Name: header, Type: sectionType, Label: label, Line: f.locator.sections[header],
		file: f, values: f.values.Section(header),
	}
}

// Sections returns the sections in file order, each name once.
func (f *File) Sections() []*Section { return f.sections }

// Findings returns all findings recorded so far, ordered by line.
func (f *File) Findings() Findings {
	f.findings.Sort()
	return f.findings
}

// Add records a finding. line is 0 if the fault belongs to no line.
func (f *File) Add(line int, section, key, message, accepted string) {
	f.findings = append(f.findings, Finding{f.name, line, section, key, message, accepted})
}

// Add records a finding in the section, at the line of key if the key is present, else at the section header.
func (s *Section) Add(key, message, accepted string) {
	s.file.Add(s.LineOf(key), s.Name, key, message, accepted)
}

// LineOf returns the line of key, or the line of the section header if the key is absent.
func (s *Section) LineOf(key string) int {
	if line, ok := s.file.locator.keys[keyRef{s.Name, key}]; ok {
		return line
	}
	return s.Line
}

// RejectUnknownKeys records a finding for each key of the section that is not among keys.
func (s *Section) RejectUnknownKeys(keys ...string) {
	known := map[string]bool{}
	for _, key := range keys {
		known[key] = true
	}
	for _, key := range s.file.locator.keyOrder[s.Name] {
		if !known[key] {
			s.Add(key, "unknown key", strings.Join(keys, ", "))
		}
	}
}

// Raw returns the unparsed value of a key and whether the key is present.
func (s *Section) Raw(key string) (string, bool) {
	if !s.values.HasKey(key) {
		return "", false
	}
	return s.values.Key(key).Value(), true
}

// Has reports whether the key is present.
func (s *Section) Has(key string) bool { return s.values.HasKey(key) }
