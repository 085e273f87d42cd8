// Package tomlcheck is a strict decoder of TOML into structs. It reports all
// problems of a document at once, each with its file, line, column and field.
// Packages config and settings use it, so that both report problems in the same
// form.
package tomlcheck
