// Package config defines the configuration of one environment: the TOML
// document, the local overrides of the environment, the store objects of
// customers, data centres and draining servers, and the effective configuration
// that results from them.
//
// The package does no I/O. docs/reference/configuration.md lists every field.
package config
