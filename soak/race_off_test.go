//go:build !race

package soak

var raceFlags []string
