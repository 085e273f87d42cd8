// Package examples embeds the example documents.
package examples

import _ "embed"

// Quickstart is the configuration document of the quickstart, with all servers
// on 127.0.0.1.
//
//go:embed quickstart.toml
var Quickstart []byte

// Lumenfolha is the configuration document of the Lumenfolha workload, an
// update ledger and an image store.
//
//go:embed lumenfolha.toml
var Lumenfolha []byte

// Sutokatha is the configuration document of the Sutokatha workload, an order
// desk and a pattern store.
//
//go:embed sutokatha.toml
var Sutokatha []byte
