package config

import (
	"fmt"
	"slices"

	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// Local holds the local overrides of an environment: its data centres, and the
// servers of its services with addresses and sizes. Promotion does not copy them
// to other environments. Error messages and the reference call them the
// environment's own part.
type Local struct {
	// DataCentres, unless nil, replace those of the document.
	DataCentres []DataCentre `toml:"data_centre" json:"data_centre"`
	// Services are overrides for services of the document. Each must name one.
	Services []LocalService `toml:"service" json:"service"`
}

// LocalService overrides fields of the document's service of the same name.
type LocalService struct {
	Name topo.ServiceName `toml:"name" json:"name"`
	// Cell replaces the service's cell if the overrides set it.
	Cell topo.CellName `toml:"cell" json:"cell"`
	// Servers, unless nil, replace all servers of the service.
	Servers []topo.BackendServer `toml:"server" json:"server"`
}

// ParseLocal decodes and validates local overrides without the document; Merge
// checks the two together. The name file appears only in error positions. The
// error is of type Problems.
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
		if c.Has(field + ".cell") {
			v.checkName(field+".cell", string(s.Cell))
		}
		v.servers(field, s.Servers, ids)
	}
}

// Merge returns the effective document, which is doc with the local overrides
// applied; local may be nil. It does not modify doc. It returns Problems if the
// overrides name a service that doc lacks, and if the result has no data centres,
// services without servers, fewer slices than servers, servers in unknown data
// centres, or duplicate server ids or addresses.
func Merge(file string, doc *Document, local *Local) (*Document, error) {
	merged := *doc
	merged.Services = slices.Clone(doc.Services)
	for i := range merged.Services {
		merged.Services[i].Servers = slices.Clone(merged.Services[i].Servers)
	}
	c := tomlcheck.NewChecker(file)
	if local != nil {
		if local.DataCentres != nil {
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
		if ls.Servers != nil {
			s.Servers = slices.Clone(ls.Servers)
		}
		return
	}
	c.Suggest(field, tomlcheck.Nearest(string(ls.Name), known), "the document has no service %q", ls.Name)
}
