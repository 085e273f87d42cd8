// Package settings loads and validates the settings of one daemon process: its
// identity, its listen addresses and the peers and platform that it connects to.
// They come from a TOML file and from flags, which override the file.
// Configuration that several VMs must agree on belongs to package config.
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

// Problem is one invalid setting, with its position in the file or its flag.
type Problem = tomlcheck.Problem

// Problems is the error that lists every Problem of the settings.
type Problems = tomlcheck.Problems

// The default values of the settings.
const (
	// DefaultCell is the cell name for deployments with a single cell.
	DefaultCell = topo.CellName("main")
	// DefaultLogLevel is the default minimum level of logged events.
	DefaultLogLevel = "info"
)

// Settings are the settings of a daemon process. Each field has a flag that is
// named after its TOML path, with hyphens in place of underscores and dots, such
// as -peer-addr or -caller-tls-cert.
type Settings struct {
	VM         topo.VMID           `toml:"vm" help:"id of this VM, unique in the environment"`
	Cell       topo.CellName       `toml:"cell" help:"cell of this VM"`
	DataCentre topo.DataCentreName `toml:"data_centre" help:"data centre of this VM"`
	// Environment has no default, so that no daemon joins an environment by
	// accident.
	Environment string `toml:"environment" help:"environment, such as trial or production"`
	// PeerAddr is the address on which this VM listens for other VMs and that
	// they connect to.
	PeerAddr string `toml:"peer_addr" help:"host:port for other VMs"`
	// CallerAddr is the address on which this VM listens for callers and that
	// they connect to.
	CallerAddr string `toml:"caller_addr" help:"host:port for callers"`
	// AdminAddr is the listen address for metrics and state; empty disables it.
	AdminAddr string `toml:"admin_addr" help:"host:port for metrics and state, empty for none"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `toml:"platform_url" help:"base URL of the platform's object API"`
	// SeedPeers are the peer addresses of other VMs that the daemon contacts
	// when the store is unavailable at start.
	SeedPeers []string `toml:"seed_peers" help:"peer addresses of other VMs, separated by commas"`
	LogLevel  string   `toml:"log_level" help:"debug, info, warn or error"`
	// CallerTLS is the certificate that this VM presents to callers.
	CallerTLS CallerTLS `toml:"caller_tls"`
	// PeerTLS is the certificate that this VM presents to other VMs, and the
	// authority that signs the certificates of VMs.
	PeerTLS PeerTLS `toml:"peer_tls"`
	// MemoryMB is the memory of the VM, 0 for no limit.
	MemoryMB int64 `toml:"memory_mb" help:"memory of the VM in MiB, bounds what callers can make it hold; 0 for no limit"`
	// AllowPlainHTTP permits callers without TLS. Their caller keys are then
	// readable on the network.
	AllowPlainHTTP bool `toml:"allow_plain_http" help:"accept callers without TLS"`
	// AllowPlaintextPeers permits connections between VMs without TLS. Any
	// machine on the network can then impersonate a VM.
	AllowPlaintextPeers bool `toml:"allow_plaintext_peers" help:"connect VMs without TLS"`
}

// CallerTLS holds the names of the files for TLS connections from callers.
type CallerTLS struct {
	Cert string `toml:"cert" help:"file with the certificate chain for callers, PEM"`
	Key  string `toml:"key" help:"file with the private key for callers, PEM"`
}

// PeerTLS holds the names of the files for mutual TLS between VMs.
type PeerTLS struct {
	Cert string `toml:"cert" help:"file with this VM's certificate chain, PEM"`
	Key  string `toml:"key" help:"file with this VM's private key, PEM"`
	CA   string `toml:"ca" help:"file with the authorities that sign VMs' certificates, PEM"`
}

// Defaults returns the settings that apply before the file and the flags.
func Defaults() *Settings { return &Settings{Cell: DefaultCell, LogLevel: DefaultLogLevel} }

// VMRecord returns the record of this VM in the topology.
func (s *Settings) VMRecord() topo.VM {
	return topo.VM{ID: s.VM, Cell: s.Cell, DataCentre: s.DataCentre, PeerAddr: s.PeerAddr, CallerAddr: s.CallerAddr}
}

// Load reads the settings from the command-line arguments without the program
// name. The flag -settings names the TOML file, which is read with readFile
// (usually os.ReadFile). The help text is written to output. The error is
// flag.ErrHelp, an error of readFile, or Problems, which covers the file and the
// flags.
func Load(args []string, readFile func(string) ([]byte, error), output io.Writer) (*Settings, error) {
	s := Defaults()
	flags := flag.NewFlagSet("godwitlockd", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // invalid flags are reported as Problems
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
	overrides.apply(flags, v.fromFlag, c)
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

// override maps a flag to the settings field that it sets.
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
	switch v.Kind() {
	case reflect.String:
		return v.String()
	case reflect.Int64:
		return strconv.FormatInt(v.Int(), 10)
	}
	return ""
}

// FlagName returns the name of the flag for a field, given its TOML path.
func FlagName(field string) string { return strings.NewReplacer("_", "-", ".", "-").Replace(field) }

// apply copies the values of the flags that were set into the settings, and
// records in fromFlag which flag set each field.
// Values that cannot be parsed are reported to c.
func (o overrides) apply(flags *flag.FlagSet, fromFlag map[string]string, c *tomlcheck.Checker) {
	flags.Visit(func(f *flag.Flag) {
		ov, ok := o[f.Name]
		if !ok {
			return
		}
		fromFlag[ov.field] = f.Name
		switch {
		case ov.boolValue != nil:
			ov.target.SetBool(*ov.boolValue)
		case ov.target.Kind() == reflect.Int64:
			n, err := strconv.ParseInt(*ov.stringValue, 10, 64)
			if err != nil {
				c.AddProblem(Problem{Position: flagPosition(), Message: "-" + f.Name + " must be a whole number, not " + strconv.Quote(*ov.stringValue)})
			}
			ov.target.SetInt(n)
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
