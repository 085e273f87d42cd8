// Package settings is the settings of one daemon process: who it is, where it
// listens and whom it contacts first. They come from a TOML file and from
// flags, which override the file. Everything that several VMs must agree on
// belongs to package config instead.
//
// docs/reference/settings.md lists every field.
package settings

import (
	"flag"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// Problem is one fault of the settings.
type Problem = tomlcheck.Problem

// Problems is the error that lists all faults of the settings.
type Problems = tomlcheck.Problems

// The default values of the settings.
const (
	// DefaultCell is the cell of a deployment of one cell.
	DefaultCell = topo.CellName("main")
	// DefaultLogLevel is the lowest level that is logged.
	DefaultLogLevel = "info"
)

// Settings are the settings of a daemon process. The flag of a field is its
// TOML name with hyphens, such as -peer-addr or -caller-tls-cert.
type Settings struct {
	VM         topo.VMID           `toml:"vm" help:"id of this VM, unique in the environment"`
	Cell       topo.CellName       `toml:"cell" help:"cell of this VM"`
	DataCentre topo.DataCentreName `toml:"data_centre" help:"data centre of this VM"`
	// Environment has no default, so that no daemon joins one by accident.
	Environment string `toml:"environment" help:"environment, such as trial or production"`
	// PeerAddr is where other VMs reach this one; it is also listened on.
	PeerAddr string `toml:"peer_addr" help:"host:port for other VMs"`
	// CallerAddr is where callers reach this VM; it is also listened on.
	CallerAddr string `toml:"caller_addr" help:"host:port for callers"`
	// AdminAddr serves metrics and state to operators; empty turns it off.
	AdminAddr string `toml:"admin_addr" help:"host:port for metrics and state, empty for none"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `toml:"platform_url" help:"base URL of the platform's object API"`
	// SeedPeers are read from when the store is down at the start.
	SeedPeers []string `toml:"seed_peers" help:"peer addresses of other VMs, separated by commas"`
	LogLevel  string   `toml:"log_level" help:"debug, info, warn or error"`
	// CallerTLS is the certificate that callers see.
	CallerTLS CallerTLS `toml:"caller_tls"`
	// PeerTLS is the certificate between VMs and the authority that signs it.
	PeerTLS PeerTLS `toml:"peer_tls"`
	// AllowPlainHTTP permits callers without TLS, whose caller keys can then
	// be read on the network.
	AllowPlainHTTP bool `toml:"allow_plain_http" help:"accept callers without TLS"`
	// AllowPlaintextPeers permits connections between VMs without TLS, over
	// which any host could act as a VM.
	AllowPlaintextPeers bool `toml:"allow_plaintext_peers" help:"connect VMs without TLS"`
}

// CallerTLS names the files for TLS towards callers.
type CallerTLS struct {
	Cert string `toml:"cert" help:"file with the certificate chain for callers, PEM"`
	Key  string `toml:"key" help:"file with the private key for callers, PEM"`
}

// PeerTLS names the files for mutual TLS between VMs.
type PeerTLS struct {
	Cert string `toml:"cert" help:"file with this VM's certificate chain, PEM"`
	Key  string `toml:"key" help:"file with this VM's private key, PEM"`
	CA   string `toml:"ca" help:"file with the authorities that sign VMs' certificates, PEM"`
}

// Defaults returns the settings before file and flags.
func Defaults() *Settings { return &Settings{Cell: DefaultCell, LogLevel: DefaultLogLevel} }

// VMRecord returns the record of this VM.
func (s *Settings) VMRecord() topo.VM {
	return topo.VM{ID: s.VM, Cell: s.Cell, DataCentre: s.DataCentre, PeerAddr: s.PeerAddr, CallerAddr: s.CallerAddr}
}

// Load reads the settings from the arguments of a process, without its name.
// The flag -settings names the TOML file, which readFile reads (os.ReadFile).
// Output receives the help text. The error is flag.ErrHelp, an error of
// readFile, or Problems with every fault of file and flags together.
func Load(args []string, readFile func(string) ([]byte, error), output io.Writer) (*Settings, error) {
	s := Defaults()
	flags := flag.NewFlagSet("godwitlockd", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // a wrong flag is reported as a Problem
	file := flags.String("settings", "", "TOML file with the settings")
	overrides := defineFlags(flags, s)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			flags.SetOutput(output)
			flags.Usage()
			return nil, err
		}
		return nil, Problems{{Position: flagPosition(), Message: err.Error()}}
	}
	c := tomlcheck.NewChecker("flags")
	if *file != "" {
		data, err := readFile(*file)
		if err != nil {
			return nil, errors.Annotate(err, "read settings")
		}
		c = tomlcheck.Decode(*file, data, s)
	}
	v := validator{c: c, s: s, fromFlag: map[string]string{}}
	overrides.apply(flags, v.fromFlag)
	if flags.NArg() > 0 {
		c.AddProblem(Problem{Position: flagPosition(), Message: "unexpected argument " + strconv.Quote(flags.Arg(0))})
	}
	if c.Complete() {
		v.checkAll()
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func flagPosition() tomlcheck.Position { return tomlcheck.Position{File: "flags"} }

// override connects a flag with its field.
type override struct {
	field       string // TOML path
	stringValue *string
	boolValue   *bool
	target      reflect.Value
}

type overrides map[string]override

// defineFlags defines a flag for every field that has a help text.
func defineFlags(flags *flag.FlagSet, s *Settings) overrides {
	o := overrides{}
	o.define(flags, "", reflect.ValueOf(s).Elem())
	return o
}

func (o overrides) define(flags *flag.FlagSet, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		field, target := prefix+tag.Get("toml"), v.Field(i)
		name := FlagName(field)
		switch target.Kind() {
		case reflect.Struct:
			o.define(flags, field+".", target)
		case reflect.Bool:
			o[name] = override{field: field, target: target, boolValue: flags.Bool(name, false, tag.Get("help"))}
		default:
			o[name] = override{field: field, target: target, stringValue: flags.String(name, defaultText(target), tag.Get("help"))}
		}
	}
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return v.String()
	}
	return ""
}

// FlagName returns the flag of a field, given its path in the TOML file.
func FlagName(field string) string { return strings.NewReplacer("_", "-", ".", "-").Replace(field) }

// apply copies the flags that were set into the settings and records for each
// field which flag it came from.
func (o overrides) apply(flags *flag.FlagSet, fromFlag map[string]string) {
	flags.Visit(func(f *flag.Flag) {
		ov, ok := o[f.Name]
		if !ok {
			return
		}
		fromFlag[ov.field] = f.Name
		switch {
		case ov.boolValue != nil:
			ov.target.SetBool(*ov.boolValue)
		case ov.target.Kind() == reflect.Slice:
			ov.target.Set(reflect.ValueOf(splitList(*ov.stringValue)))
		default:
			ov.target.SetString(*ov.stringValue)
		}
	})
}

func splitList(s string) []string {
	var items []string
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
