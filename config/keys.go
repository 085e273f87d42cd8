package config

import (
	"fmt"
	"strings"

	"godwitlock.example/godwitlock/topo"
)

// Keys of the objects in the store (docs/design.md, section 5).

// EnvPrefix returns the common prefix of the keys of an environment's objects.
func EnvPrefix(env string) string { return "env/" + env + "/" }

// DocumentKey returns the key of the environment's document.
func DocumentKey(env string) string { return EnvPrefix(env) + "document" }

// LocalKey returns the key of the environment's local overrides.
func LocalKey(env string) string { return EnvPrefix(env) + "local" }

// CustomerKey returns the key of the Customer object with the id.
func CustomerKey(env string, id topo.CustomerID) string {
	return EnvPrefix(env) + customerPrefix + string(id)
}

// DataCentreKey returns the key of the DataCentreState object of a data centre.
func DataCentreKey(env string, name topo.DataCentreName) string {
	return EnvPrefix(env) + dataCentrePrefix + string(name)
}

// DrainingKey returns the key of the Draining object of a server.
func DrainingKey(env string, id topo.ServerID) string {
	return EnvPrefix(env) + drainingPrefix + string(id)
}

// AuditPrefix returns the common prefix of the keys of the environment's audit
// entries. It lies outside EnvPrefix, so that watches and listings of the
// configuration do not transfer the entries.
func AuditPrefix(env string) string { return "audit/" + env + "/" }

// ProofKey returns the key of the proof of one version of the environment's
// document: the recorded evidence that this version works.
func ProofKey(env string, version uint64) string {
	return fmt.Sprintf("%sproof/%010d", EnvPrefix(env), version)
}

// HistoryPrefix returns the common prefix of the keys of replaced versions of the
// environment's document. It lies outside EnvPrefix, so that watches and listings
// of the configuration do not transfer the versions.
func HistoryPrefix(env string) string { return "history/" + env + "/document/" }

// HistoryKey returns the key of one replaced version of the environment's
// document.
func HistoryKey(env string, version uint64) string {
	return fmt.Sprintf("%s%010d", HistoryPrefix(env), version)
}

const (
	customerPrefix   = "customer/"
	dataCentrePrefix = "datacentre/"
	drainingPrefix   = "draining/"
)

// IsConfigObject reports whether a store key is that of an object of the
// environment's configuration. It returns false for proofs, which have the same
// prefix, and for audit entries. Only configuration objects are distributed to
// VMs.
func IsConfigObject(env, key string) bool {
	class, _ := classify(env, key)
	return class != notConfigObject
}

// objectClass is the kind of a configuration object.
type objectClass uint8

const (
	notConfigObject objectClass = iota
	documentObject
	localObject
	customerObject
	dataCentreObject
	drainingObject
)

// classify returns the class of the object with the store key, and the customer,
// data centre or server in the key, if any.
func classify(env, key string) (objectClass, string) {
	rest, ok := strings.CutPrefix(key, EnvPrefix(env))
	if !ok {
		return notConfigObject, ""
	}
	switch rest {
	case "document":
		return documentObject, ""
	case "local":
		return localObject, ""
	}
	part, name, _ := strings.Cut(rest, "/")
	switch part + "/" {
	case customerPrefix:
		return customerObject, name
	case dataCentrePrefix:
		return dataCentreObject, name
	case drainingPrefix:
		return drainingObject, name
	}
	return notConfigObject, ""
}
