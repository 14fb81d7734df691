package conf

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// EnvPrefix is the prefix of all environment variables that are settings.
const EnvPrefix = "CORIANDERDRIFT"

// Host holds the settings of one entry host.
type Host struct {
	Name       string
	DataCenter string
	Region     string
	// Listen is the address at which callers and operators are served.
	Listen netip.AddrPort
	// PeerListen is the address at which other entry hosts are served.
	PeerListen netip.AddrPort
	// Advertise is the address at which other entry hosts reach PeerListen.
	Advertise netip.AddrPort
	Platform  netip.AddrPort
	Seeds     []netip.AddrPort
	// Source is the local address of outgoing connections, if valid.
	Source   netip.Addr
	LeaseTTL time.Duration
	TaskTTL  time.Duration
	// ShortLimit is the learned run time up to which work counts as short.
	ShortLimit time.Duration
	// StopDelay is how long the host still accepts requests after its readiness probe has begun to fail.
	StopDelay time.Duration
	// StopTimeout is the timeout of a graceful shutdown.
	StopTimeout    time.Duration
	OperatorToken  string
	Policy         Policy
	LogFormat      string
	LogLevel       logrus.Level
	Pprof          bool
	AllowPlainText bool
	TLS            TLS
	TraceFile      string
	Guard          Guard
}

// Guard holds the limits of callers' connections.
type Guard struct {
	// MemoryMiB is the memory of the machine that the host may use, or 0 if that isn't known.
	MemoryMiB      int
	MaxConnections int
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultGuard returns the limits of callers' connections that apply without flags.
func DefaultGuard() Guard {
	return Guard{
		MaxConnections: 20000, MaxHeaderBytes: 64 << 10, MaxBodyBytes: 8 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
	}
}

// TLS names the files with certificates and keys; an empty certificate name means plain text.
type TLS struct {
	Cert     string
	Key      string
	PeerCert string
	PeerKey  string
	PeerCA   string
}

// Policy is a scheduling policy.
type Policy string

// The policies; PolicyPlain is first come, first served, the baseline of benchmarks.
const (
	PolicyFull  Policy = "full"
	PolicyPlain Policy = "plain"
)

// Error reports an invalid setting.
type Error struct {
	Setting string
	Value   string
	Allowed string
}

// Error returns the setting, its value and what is allowed.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %s: %q is not allowed: %s", e.Setting, e.Value, e.Allowed)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Flags defines a flag for each setting of an entry host.
func Flags(flags *pflag.FlagSet) {
	flags.String("name", "", "unique name of this entry host")
	flags.String("data-center", "", "data centre of this entry host")
	flags.String("region", "", "region of the data centre")
	flags.String("listen", "127.0.0.1:8080", "address for callers and operators")
	flags.String("peer-listen", "127.0.0.1:8081", "address for other entry hosts")
	flags.String("advertise", "", "address at which other entry hosts reach peer-listen (default: peer-listen)")
	flags.String("platform", "", "address of the platform's service")
	flags.StringSlice("seeds", nil, "addresses of other entry hosts, separated by commas")
	flags.String("source", "", "local IP address of connections to workers, peers and the platform (default: any)")
	flags.Duration("lease-ttl", 3*time.Second, "how long a worker's lease lasts (1s to 1m)")
	flags.Duration("task-ttl", 12*time.Second, "how long tasks outlive the last renewal (at least 3 times lease-ttl)")
	flags.Duration("short-limit", 500*time.Millisecond, "run time up to which work counts as short")
	flags.Duration("stop-delay", 2*time.Second, "how long requests are still accepted after readiness has begun to fail")
	flags.Duration("stop-limit", 5*time.Minute, "timeout of a graceful shutdown")
	flags.String("operator-token", "", "token required for operators' writes (default: none, allowed on loopback only)")
	flags.String("policy", string(PolicyFull), "full, or plain (first come, first served, the baseline of benchmarks)")
	flags.String("log-format", "text", "text or json")
	flags.String("log-level", "info", "debug, info, warning or error")
	flags.Bool("pprof", false, "serve profiles under /debug/pprof")
	flags.Bool("allow-plain-text", false, "serve without TLS on non-loopback addresses")
	flags.String("tls-cert", "", "file with the certificate for callers")
	flags.String("tls-key", "", "file with the key of tls-cert")
	flags.String("peer-tls-cert", "", "file with the certificate for other entry hosts")
	flags.String("peer-tls-key", "", "file with the key of peer-tls-cert")
	flags.String("peer-tls-ca", "", "file with the certificate authorities for other entry hosts' certificates")
	guard := DefaultGuard()
	flags.Int("memory-mb", guard.MemoryMiB, "memory in MiB that the host may use, from which the memory for callers follows (default: not limited, 1024 for callers)")
	flags.Int("max-connections", guard.MaxConnections, "callers' connections at once; fewer if the memory requires it")
	flags.Int("max-header-bytes", guard.MaxHeaderBytes, "bytes of a request's head")
	flags.Int("max-body-bytes", guard.MaxBodyBytes, "bytes of a request's body, whatever its work allows")
	flags.Duration("header-timeout", guard.HeaderTimeout, "time from the first byte of a request to the end of its head")
	flags.Duration("idle-timeout", guard.IdleTimeout, "time between requests on a connection")
	flags.String("trace-file", "", "file to which arriving requests are recorded for replay")
}

// Load reads the settings from parsed flags and, for flags that were not given, from the environment.
func Load(flags *pflag.FlagSet) (Host, error) {
	if err := checkEnvironment(flags); err != nil {
		return Host{}, err
	}
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(flags); err != nil {
		return Host{}, err
	}
	r := &reader{v: v}
	h := r.host()
	if r.err == nil {
		r.err = h.validate()
	}
	return h, r.err
}

// checkEnvironment rejects variables with EnvPrefix that name no setting.
func checkEnvironment(flags *pflag.FlagSet) error {
	for _, pair := range os.Environ() {
		name, value, _ := strings.Cut(pair, "=")
		suffix, ok := strings.CutPrefix(name, EnvPrefix+"_")
		if !ok {
			continue
		}
		setting := strings.ToLower(strings.ReplaceAll(suffix, "_", "-"))
		if flags.Lookup(setting) == nil {
			return &Error{Setting: name, Value: value, Allowed: "there is no such setting"}
		}
	}
	return nil
}

type reader struct {
	v   *viper.Viper
	err error
}

func (r *reader) host() Host {
	h := Host{
		Name: r.v.GetString("name"), DataCenter: r.v.GetString("data-center"), Region: r.v.GetString("region"),
		Listen: r.addr("listen"), PeerListen: r.addr("peer-listen"), Platform: r.addr("platform"),
		LeaseTTL: r.duration("lease-ttl"), TaskTTL: r.duration("task-ttl"), ShortLimit: r.duration("short-limit"),
		StopDelay: r.duration("stop-delay"), StopTimeout: r.duration("stop-limit"),
		OperatorToken: r.v.GetString("operator-token"), Policy: Policy(r.v.GetString("policy")),
		LogFormat: r.v.GetString("log-format"), Pprof: r.v.GetBool("pprof"), AllowPlainText: r.v.GetBool("allow-plain-text"),
		TLS: TLS{
			Cert: r.v.GetString("tls-cert"), Key: r.v.GetString("tls-key"), PeerCert: r.v.GetString("peer-tls-cert"),
			PeerKey: r.v.GetString("peer-tls-key"), PeerCA: r.v.GetString("peer-tls-ca"),
		},
		TraceFile: r.v.GetString("trace-file"),
		Guard: Guard{
			MemoryMiB: r.v.GetInt("memory-mb"), MaxConnections: r.v.GetInt("max-connections"),
			MaxHeaderBytes: r.v.GetInt("max-header-bytes"), MaxBodyBytes: r.v.GetInt("max-body-bytes"),
			HeaderTimeout: r.duration("header-timeout"), IdleTimeout: r.duration("idle-timeout"),
		},
	}
	h.Advertise = h.PeerListen
	if r.v.GetString("advertise") != "" {
		h.Advertise = r.addr("advertise")
	}
	if text := r.v.GetString("source"); text != "" {
		source, err := netip.ParseAddr(text)
		if err != nil {
			r.fail("source", text, "must be an IP address")
		}
		h.Source = source
	}
	for _, seed := range r.stringList("seeds") {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil {
			r.fail("seeds", seed, "must be IP:port, separated by commas")
		}
		h.Seeds = append(h.Seeds, addr)
	}
	level, err := logrus.ParseLevel(r.v.GetString("log-level"))
	if err != nil {
		r.fail("log-level", r.v.GetString("log-level"), "must be debug, info, warning or error")
	}
	h.LogLevel = level
	return h
}

// stringList reads a list, whose items are separated by commas in an environment variable.
func (r *reader) stringList(setting string) []string {
	var items []string
	for _, item := range r.v.GetStringSlice(setting) {
		for part := range strings.SplitSeq(item, ",") {
			if part = strings.TrimSpace(part); part != "" {
				items = append(items, part)
			}
		}
	}
	return items
}

func (r *reader) fail(setting, value, allowed string) {
	if r.err == nil {
		r.err = &Error{Setting: setting, Value: value, Allowed: allowed}
	}
}

func (r *reader) addr(setting string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(r.v.GetString(setting))
	if err != nil {
		r.fail(setting, r.v.GetString(setting), "must be IP:port")
	}
	return addr
}

func (r *reader) duration(setting string) time.Duration {
	d, err := time.ParseDuration(r.v.GetString(setting))
	if err != nil {
		r.fail(setting, r.v.GetString(setting), "must be a duration like 1.5s")
	}
	return d
}

type rule struct {
	valid   bool
	setting string
	value   string
	allowed string
}

func (h Host) validate() error {
	const (
		maxLeaseTTL    = time.Minute
		aboveZero      = "must be above 0"
		minMemoryMiB   = 64
		minHeaderBytes = 1024
	)
	loopback := h.Listen.Addr().IsLoopback()
	peerLoopback := h.PeerListen.Addr().IsLoopback()
	rules := []rule{
		{namePattern.MatchString(h.Name), "name", h.Name, "must be 1 to 63 characters of a-z, 0-9 and -, with no - at its ends"},
		{namePattern.MatchString(h.DataCenter), "data-center", h.DataCenter, "must be 1 to 63 characters of a-z, 0-9 and -"},
		{h.Region == "" || namePattern.MatchString(h.Region), "region", h.Region, "must be 1 to 63 characters of a-z, 0-9 and -"},
		{h.LeaseTTL >= time.Second && h.LeaseTTL <= maxLeaseTTL, "lease-ttl", h.LeaseTTL.String(), "must be 1s to 1m"},
		{h.TaskTTL >= 3*h.LeaseTTL, "task-ttl", h.TaskTTL.String(), "must be at least 3 times lease-ttl"},
		{h.ShortLimit > 0, "short-limit", h.ShortLimit.String(), aboveZero},
		{h.StopDelay >= 0, "stop-delay", h.StopDelay.String(), "must not be negative"},
		{h.StopTimeout > h.StopDelay, "stop-limit", h.StopTimeout.String(), "must be longer than stop-delay"},
		{h.Policy == PolicyFull || h.Policy == PolicyPlain, "policy", string(h.Policy), "must be full or plain"},
		{h.LogFormat == "text" || h.LogFormat == "json", "log-format", h.LogFormat, "must be text or json"},
		{(h.TLS.Cert == "") == (h.TLS.Key == ""), "tls-key", h.TLS.Key, "must be given together with tls-cert"},
		{h.TLS.peerFilesConsistent(), "peer-tls-cert", h.TLS.PeerCert, "must be given together with peer-tls-key and peer-tls-ca"},
		{
			loopback || h.TLS.Cert != "" || h.AllowPlainText, "listen", h.Listen.String(),
			"requires tls-cert or allow-plain-text on a non-loopback address",
		},
		{
			peerLoopback || h.TLS.PeerCert != "" || h.AllowPlainText, "peer-listen", h.PeerListen.String(),
			"requires peer-tls-cert or allow-plain-text on a non-loopback address",
		},
		{h.Guard.MemoryMiB == 0 || h.Guard.MemoryMiB >= minMemoryMiB, "memory-mb", strconv.Itoa(h.Guard.MemoryMiB), "must be 0 or at least 64"},
		{h.Guard.MaxConnections > 0, "max-connections", strconv.Itoa(h.Guard.MaxConnections), aboveZero},
		{h.Guard.MaxHeaderBytes >= minHeaderBytes, "max-header-bytes", strconv.Itoa(h.Guard.MaxHeaderBytes), "must be at least 1024"},
		{h.Guard.MaxBodyBytes > 0, "max-body-bytes", strconv.Itoa(h.Guard.MaxBodyBytes), aboveZero},
		{h.Guard.HeaderTimeout > 0, "header-timeout", h.Guard.HeaderTimeout.String(), aboveZero},
		{h.Guard.IdleTimeout > 0, "idle-timeout", h.Guard.IdleTimeout.String(), aboveZero},
		{loopback || h.OperatorToken != "", "operator-token", "", "must be given if listen is not a loopback address"},
	}
	for _, r := range rules {
		if !r.valid {
			return &Error{Setting: r.setting, Value: r.value, Allowed: r.allowed}
		}
	}
	return nil
}

func (t TLS) peerFilesConsistent() bool {
	numSet := 0
	for _, name := range []string{t.PeerCert, t.PeerKey, t.PeerCA} {
		if name != "" {
			numSet++
		}
	}
	return numSet == 0 || numSet == 3
}
