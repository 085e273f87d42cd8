package config

import (
	"fmt"
	"strings"

	"godwitlock.example/godwitlock/topo"
)

// Keys of the store (docs/design.md, section 5).

// EnvPrefix begins the keys of all objects of an environment.
func EnvPrefix(env string) string { return "env/" + env + "/" }

// DocumentKey is the key of the environment's document.
func DocumentKey(env string) string { return EnvPrefix(env) + "document" }

// LocalKey is the key of the environment's own part.
func LocalKey(env string) string { return EnvPrefix(env) + "local" }

// CustomerKey is the key of a customer.
func CustomerKey(env string, id topo.CustomerID) string {
	return EnvPrefix(env) + customerPrefix + string(id)
}

// DataCentreKey is the key of a data centre's state.
func DataCentreKey(env string, name topo.DataCentreName) string {
	return EnvPrefix(env) + dataCentrePrefix + string(name)
}

// DrainingKey is the key of a draining server.
func DrainingKey(env string, id topo.ServerID) string {
	return EnvPrefix(env) + drainingPrefix + string(id)
}

// AuditPrefix begins the keys of the environment's audit entries. It lies outside
// EnvPrefix, so that watches and full reads of the configuration do not carry
// them.
func AuditPrefix(env string) string { return "audit/" + env + "/" }

// ProofKey is the key of the evidence for one version of the environment's
// document.
func ProofKey(env string, version uint64) string {
	return fmt.Sprintf("%sproof/%010d", EnvPrefix(env), version)
}

// HistoryPrefix begins the keys of replaced versions of the environment's
// document. It lies outside EnvPrefix, so that watches and full reads of the
// configuration do not carry them.
func HistoryPrefix(env string) string { return "history/" + env + "/document/" }

// HistoryKey is the key of one replaced version of the document.
func HistoryKey(env string, version uint64) string {
	return fmt.Sprintf("%s%010d", HistoryPrefix(env), version)
}

const (
	customerPrefix   = "customer/"
	dataCentrePrefix = "datacentre/"
	drainingPrefix   = "draining/"
)

// IsObject reports whether a key of the store belongs to the environment's
// configuration, as opposed to audit entries and proofs below the same prefix.
// Only such objects need to be passed on to VMs.
func IsObject(env, key string) bool {
	class, _ := classify(env, key)
	return class != notConfigObject
}

// objectClass tells the kinds of configuration object apart.
type objectClass uint8

const (
	notConfigObject objectClass = iota
	documentObject
	localObject
	customerObject
	dataCentreObject
	drainingObject
)

// classify returns the class of a store key and the name in it.
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
