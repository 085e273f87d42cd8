package config

import (
	"fmt"
	"slices"

	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// Local is the environment's own part of the configuration, which promotion
// never copies: data centres, and the servers of services with their addresses
// and sizes.
type Local struct {
	// DataCentres replace those of the document when there are any.
	DataCentres []DataCentre `toml:"data_centre" json:"data_centre"`
	// Services name services of the document.
	Services []LocalService `toml:"service" json:"service"`
}

// LocalService replaces parts of the document's service of the same name.
type LocalService struct {
	Name topo.ServiceName `toml:"name" json:"name"`
	// Cell replaces the cell when it is not empty.
	Cell topo.CellName `toml:"cell" json:"cell"`
	// Servers replace all servers of the service when there are any.
	Servers []topo.BackendServer `toml:"server" json:"server"`
}

// ParseLocal reads and validates an environment's own part on its own; Merge
// checks it against a document.
func ParseLocal(file string, data []byte) (*Local, error) {
	local := &Local{}
	c, err := decode(file, data, local)
	if err != nil {
		return nil, err
	}
	if c.Complete() {
		checkLocal(c, local)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return local, nil
}

func checkLocal(c *tomlcheck.Checker, local *Local) {
	v := validator{c: c, doc: &Document{DataCentres: local.DataCentres}}
	v.dataCentres()
	seen := definedNames{}
	ids := definedNames{}
	for i, s := range local.Services {
		field := fmt.Sprintf("service[%d]", i)
		v.name(field, string(s.Name), seen)
		if s.Cell != "" {
			v.validName(field+".cell", string(s.Cell))
		}
		v.servers(field, s.Servers, ids)
	}
}

// Merge returns the effective document: the document with the environment's
// own part in place. Local may be nil. The result is checked as a whole:
// services without servers, servers in unknown data centres and server ids that
// occur twice are problems.
func Merge(file string, doc *Document, local *Local) (*Document, error) {
	merged := *doc
	merged.Services = slices.Clone(doc.Services)
	for i := range merged.Services {
		merged.Services[i].Servers = slices.Clone(merged.Services[i].Servers)
	}
	c := tomlcheck.NewChecker(file)
	if local != nil {
		if len(local.DataCentres) > 0 {
			merged.DataCentres = local.DataCentres
		}
		for i, ls := range local.Services {
			mergeService(c, &merged, ls, fmt.Sprintf("service[%d].name", i))
		}
	}
	merged.fillDefaults()
	v := validator{c: c, doc: &merged}
	v.mergedDocument()
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &merged, nil
}

func mergeService(c *tomlcheck.Checker, merged *Document, ls LocalService, field string) {
	var known []string
	for i := range merged.Services {
		s := &merged.Services[i]
		known = append(known, string(s.Name))
		if s.Name != ls.Name {
			continue
		}
		if ls.Cell != "" {
			s.Cell = ls.Cell
		}
		if len(ls.Servers) > 0 {
			s.Servers = slices.Clone(ls.Servers)
		}
		return
	}
	c.Suggest(field, tomlcheck.Nearest(string(ls.Name), known), "the document has no service %q", ls.Name)
}
