// Package document parses, validates and compares environment documents. A document is an INI text;
// docs/DOCUMENTS.md describes its sections and keys.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"fulmarcourse.example/core/inifile"
	"fulmarcourse.example/core/structs"
)

// MaxTextBytes is the maximum length of a document. A store value is limited to 1 MB and a trial of a document writes
// the text twice in one transaction, so 128 KiB leaves space for the JSON encoding. 180 teams need about 20 KiB.
const MaxTextBytes = 128 << 10

// Finding is one fault of a document.
type Finding = inifile.Finding

// Findings are all faults of a document, ordered by line.
type Findings = inifile.Findings

// Types of sections.
const (
	sectionEnvironment = "environment"
	sectionService     = "service"
	sectionKind        = "kind"
	sectionTeam        = "team"
	sectionDatacentre  = "datacentre"
)

const acceptedSections = "[environment], [service NAME], [kind NAME], [team NAME] or [datacentre NAME]"

// Digest returns the digest of a document's text.
func Digest(text []byte) structs.Digest {
	sum := sha256.Sum256(text)
	return structs.Digest(hex.EncodeToString(sum[:]))
}

// Parse checks text and returns the document; name is the file name used in findings. The document may be
// used only when there are no findings.
func Parse(name string, text []byte) (structs.Document, Findings) {
	if findings := checkLength(name, text); len(findings) > 0 {
		return structs.Document{}, findings
	}
	p := newParser(inifile.Open(name, text))
	p.readSections()
	p.checkReferences()
	return p.doc, p.file.Findings()
}

// CheckText checks, before a document is sent as JSON, that it is valid UTF-8 text and within the length limit.
func CheckText(name string, text []byte) Findings {
	if findings := checkLength(name, text); len(findings) > 0 {
		return findings
	}
	return inifile.CheckText(name, text)
}

func checkLength(name string, text []byte) Findings {
	if len(text) <= MaxTextBytes {
		return nil
	}
	return Findings{{
		File: name, Line: 1, Message: "the document has " + strconv.Itoa(len(text)) + " bytes",
		Accepted: "at most " + strconv.Itoa(MaxTextBytes) + " bytes",
	}}
}

// parser builds the document. The sections of services and kinds are kept to locate the findings of checkReferences.
type parser struct {
	file     *inifile.File
	doc      structs.Document
	services map[structs.ServiceName]*inifile.Section
	kinds    map[structs.KindName]*inifile.Section
}

func newParser(file *inifile.File) *parser {
	return &parser{
		file: file,
		doc: structs.Document{
			Services: map[structs.ServiceName]structs.Service{},
			Kinds:    map[structs.KindName]structs.Kind{},
			Teams:    map[structs.TeamName]structs.Team{},
			BatchIn:  map[structs.DatacentreID]bool{},
		},
		services: map[structs.ServiceName]*inifile.Section{},
		kinds:    map[structs.KindName]*inifile.Section{},
	}
}

func (p *parser) readSections() {
	hasEnvironment := false
	for _, s := range p.file.Sections() {
		switch s.Type {
		case sectionEnvironment:
			hasEnvironment = true
			p.readEnvironment(s)
		case sectionService, sectionKind, sectionTeam, sectionDatacentre:
			if p.checkLabel(s) {
				p.readNamed(s)
			}
		default:
			s.Add("", "unknown section", acceptedSections)
		}
	}
	if !hasEnvironment {
		p.file.Add(1, sectionEnvironment, "", "the section is missing", "[environment] with the key name")
	}
	if len(p.doc.Datacentres) == 0 {
		p.file.Add(1, "", "", "the document has no data centre", "at least one [datacentre NAME]")
	}
	slices.Sort(p.doc.Datacentres)
}

// checkLabel reports whether the section header has a valid name.
func (p *parser) checkLabel(s *inifile.Section) bool {
	if _, err := inifile.Name.Parse(s.Label); err != nil {
		s.Add("", "the section needs a name", "["+s.Type+" NAME] with NAME of "+inifile.Name.Accepted)
		return false
	}
	return true
}

func (p *parser) readNamed(s *inifile.Section) {
	switch s.Type {
	case sectionService:
		p.readService(s)
	case sectionKind:
		p.readKind(s)
	case sectionTeam:
		p.readTeam(s)
	case sectionDatacentre:
		p.readDatacentre(s)
	}
}

func (p *parser) readEnvironment(s *inifile.Section) {
	if s.Label != "" {
		s.Add("", "the section takes no name in its header", "[environment] with the key name")
		return
	}
	s.RejectUnknownKeys("name")
	p.doc.Environment, _ = inifile.Required(s, "name", inifile.Name)
}

func (p *parser) readService(s *inifile.Section) {
	s.RejectUnknownKeys("datacentres")
	names, _ := inifile.Required(s, "datacentres", inifile.List(inifile.Name))
	service := structs.Service{Name: structs.ServiceName(s.Label)}
	for _, name := range names {
		service.Datacentres = append(service.Datacentres, structs.DatacentreID(name))
	}
	p.doc.Services[service.Name] = service
	p.services[service.Name] = s
}

func (p *parser) readTeam(s *inifile.Section) {
	s.RejectUnknownKeys("cpu", "memory", "accelerators", "urgent")
	team := structs.Team{Name: structs.TeamName(s.Label)}
	team.Quota.MilliCPU, _ = inifile.Required(s, "cpu", inifile.CPU(0))
	team.Quota.MemoryBytes, _ = inifile.Required(s, "memory", inifile.Memory(0))
	team.Quota.Accelerators = inifile.Optional(s, "accelerators", inifile.Accelerators, 0)
	team.Urgent = inifile.Optional(s, "urgent", inifile.YesNo, false)
	p.doc.Teams[team.Name] = team
}

func (p *parser) readDatacentre(s *inifile.Section) {
	s.RejectUnknownKeys("batch")
	id := structs.DatacentreID(s.Label)
	p.doc.BatchIn[id], _ = inifile.Required(s, "batch", inifile.YesNo)
	p.doc.Datacentres = append(p.doc.Datacentres, id)
}

// checkReferences reports names of services and data centres that the document does not define.
func (p *parser) checkReferences() {
	for name, service := range p.doc.Services {
		for _, dc := range service.Datacentres {
			if _, known := p.doc.BatchIn[dc]; !known {
				p.services[name].Add("datacentres", "unknown data centre "+strconv.Quote(string(dc)),
					acceptedNames(p.doc.Datacentres))
			}
		}
	}
	for name, kind := range p.doc.Kinds {
		if _, known := p.doc.Services[kind.Service]; kind.Service != "" && !known {
			p.kinds[name].Add("service", "unknown service "+strconv.Quote(string(kind.Service)),
				acceptedNames(sortedKeys(p.doc.Services)))
		}
	}
}

func acceptedNames[T ~string](names []T) string {
	if len(names) == 0 {
		return "the name of a section of this document; it has none"
	}
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = string(name)
	}
	return "one of " + strings.Join(words, ", ")
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
