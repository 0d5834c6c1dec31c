package setting

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/document"
	"github.com/oriolepier/oriolepier/internal/config/table"
)

// Limits on a settings file and its fields.
const (
	MaxFileBytes               = 256 << 10
	maxPeers                   = 1024
	minTokenBytes              = 16 // shorter tokens can be guessed
	maxTokenBytes              = 512
	maxNotice     clock.Millis = 10 * clock.Minute
)

// defaultNotice is the default of notice_ms. Load balancers probe every second
// or two and remove an entry only after several consecutive failures.
const defaultNotice = 5 * clock.Second

// shapes gives the defaults and the required members of each settings object.
var shapes = []document.Shape{
	{
		Prototype: Entry{LogLevel: zerolog.LevelInfoValue, NoticeMS: defaultNotice},
		Required:  []string{"name", "failure_domain", "listen", "platform"},
	},
	{Prototype: Listen{}, Required: []string{"callers", "operators", "peers"}},
	{Prototype: Platform{}, Required: []string{"store"}},
	{Prototype: Peer{}, Required: []string{"name", "failure_domain", "address"}},
	{Prototype: Limits{}},
	{Prototype: TLS{}, Required: []string{"cert", "key", "ca"}},
}

// Parse decodes and checks the content of a settings file. It does not read the
// token file; see [Load].
func Parse(file string, data []byte) (Entry, []table.Finding) {
	doc, findings := document.Parse(file, data, MaxFileBytes)
	if len(findings) > 0 {
		return Entry{}, findings
	}
	return Decode(doc)
}

// Decode is [Parse] for a document whose syntax is already parsed.
func Decode(doc *document.Document) (Entry, []table.Finding) {
	var entry Entry
	if doc.Size() > MaxFileBytes {
		return entry, []table.Finding{doc.Locate(table.Finding{Message: fmt.Sprintf("file has %d bytes; the limit of settings is %d", doc.Size(), MaxFileBytes)})}
	}
	if findings := doc.Decode(&entry, shapes...); len(findings) > 0 {
		return entry, findings
	}
	findings := lo.Map(check(entry), func(finding table.Finding, _ int) table.Finding { return doc.Locate(finding) })
	document.Sort(findings)
	return entry, findings
}

// Load reads a settings file and the token file that it names. Paths in the
// settings are resolved against the directory of the settings file.
func Load(file string) (Entry, []table.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, nil, errors.Wrap(err, "read settings")
	}
	entry, findings := Parse(file, data)
	if len(findings) > 0 {
		return entry, findings, nil
	}
	resolve := func(path string) string {
		if filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(filepath.Dir(file), path)
	}
	if entry.TLS != nil {
		entry.TLS = &TLS{Cert: resolve(entry.TLS.Cert), Key: resolve(entry.TLS.Key), CA: resolve(entry.TLS.CA)}
	}
	if entry.TokenFile == "" {
		return entry, nil, nil
	}
	entry.TokenFile = resolve(entry.TokenFile)
	token, err := ReadToken(entry.TokenFile)
	return entry.WithToken(token), nil, err
}

// ReadToken reads a shared token from a file and trims surrounding white space.
func ReadToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	token := strings.TrimSpace(string(data))
	if problem := tokenProblem(token); problem != "" {
		return "", errors.Errorf("token in %s: %s", file, problem)
	}
	return token, nil
}

// tokenProblem returns what is wrong with a token, or "".
func tokenProblem(token string) string {
	if len(token) < minTokenBytes || len(token) > maxTokenBytes {
		return fmt.Sprintf("must have %d to %d bytes, not %d", minTokenBytes, maxTokenBytes, len(token))
	}
	if strings.ContainsFunc(token, func(char rune) bool { return char <= ' ' || char > '~' }) {
		return "must be printable ASCII without spaces"
	}
	return ""
}

// checker collects the findings of one settings file.
type checker struct{ findings []table.Finding }

func (c *checker) addf(field, format string, values ...any) {
	c.findings = append(c.findings, table.Finding{Field: field, Message: fmt.Sprintf(format, values...)})
}

func check(entry Entry) []table.Finding {
	c := &checker{}
	c.name("name", entry.Name)
	c.name("failure_domain", entry.FailureDomain)
	c.listen(entry.Listen)
	c.peers(entry)
	c.address("platform.store", entry.Platform.Store, false)
	c.level(entry.LogLevel)
	c.within("notice_ms", entry.NoticeMS, 1, maxNotice)
	c.token(entry)
	c.tls(entry.TLS)
	c.limits(entry.Limits)
	return c.findings
}

func (c *checker) within(field string, value, minimum, maximum clock.Millis) {
	if value < minimum || value > maximum {
		c.addf(field, "must be between %d and %d, not %d", minimum, maximum, value)
	}
}

func (c *checker) name(field, name string) {
	if name == "" {
		c.addf(field, "is missing")
	} else if !table.ValidName(name) {
		c.addf(field, "%q is not a name: letters, digits, '-' and '_', the first a letter or digit", name)
	}
}

func (c *checker) listen(listen Listen) {
	c.address("listen.callers", listen.Callers, true)
	c.address("listen.operators", listen.Operators, true)
	c.address("listen.peers", listen.Peers, true)
	c.distinctAddress("listen.callers", listen.Callers, listen.Operators, listen.Peers)
	c.distinctAddress("listen.peers", listen.Peers, listen.Operators)
}

// distinctAddress reports an address that another listener uses too. Port 0
// requests any free port, so equal addresses with port 0 do not conflict.
func (c *checker) distinctAddress(field, address string, others ...string) {
	addrPort, err := netip.ParseAddrPort(address)
	if err == nil && addrPort.Port() != 0 && slices.Contains(others, address) {
		c.addf(field, "%s is another listener's address too", address)
	}
}

// address checks an ip:port. A listener may bind the unspecified address and,
// in tests, port 0; an address to connect to needs a specific IP and port.
func (c *checker) address(field, address string, listener bool) {
	addrPort, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		c.addf(field, "is missing")
	case err != nil:
		c.addf(field, "%q is not an IP address and port", address)
	case !listener && addrPort.Addr().IsUnspecified():
		c.addf(field, "%q is the address of no VM", address)
	case !listener && addrPort.Port() == 0:
		c.addf(field, "%q has no port", address)
	}
}

func (c *checker) peers(entry Entry) {
	if len(entry.Peers) > maxPeers {
		c.addf("peers", "names %d entries; the limit is %d", len(entry.Peers), maxPeers)
		return
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, peer := range entry.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.name(field+".name", peer.Name)
		c.name(field+".failure_domain", peer.FailureDomain)
		c.address(field+".address", peer.Address, false)
		if names[peer.Name] {
			c.addf(field+".name", "duplicate entry %q", peer.Name)
		}
		if addresses[peer.Address] {
			c.addf(field+".address", "%s is another entry's address too", peer.Address)
		}
		if peer.Name == entry.Name && peer.FailureDomain != entry.FailureDomain {
			c.addf(field+".failure_domain", "%q, but this entry's own failure_domain is %q", peer.FailureDomain, entry.FailureDomain)
		}
		names[peer.Name], addresses[peer.Address] = true, true
	}
}

func (c *checker) level(level string) {
	levels := []string{"trace", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, level) {
		c.addf("log_level", "must be one of %s, not %q", strings.Join(levels, ", "), level)
	}
}

func (c *checker) token(entry Entry) {
	if entry.Token != "" && entry.TokenFile != "" {
		c.addf("token_file", "given beside token; give one of them")
	}
	if entry.Token != "" {
		if problem := tokenProblem(entry.Token); problem != "" {
			c.addf("token", "%s", problem)
		}
		return
	}
	if entry.TokenFile != "" {
		return
	}
	for _, listener := range []struct{ field, address string }{
		{"listen.operators", entry.Listen.Operators}, {"listen.peers", entry.Listen.Peers},
	} {
		if _, err := netip.ParseAddrPort(listener.address); err == nil && !Loopback(listener.address) {
			c.addf(listener.field, "unsafe: %s is open to other VMs, so a token or token_file is needed", listener.address)
		}
	}
}

// Largest limits. Those of callers leave descriptors and memory for the other parts of
// the process.
const (
	maxMemoryMB           = 1 << 20
	maxDescriptors        = 1 << 20
	maxCallerBodyRate     = 1 << 30 // bytes per second
	quarter               = 4       // divisor
	callerDescriptorParts = 3       // quarters of the descriptors
	bytesPerMB            = 1 << 20
)

func (c *checker) limits(limits *Limits) {
	if limits == nil {
		return
	}
	c.upTo("limits.memory_mb", int64(limits.MemoryMB), maxMemoryMB)
	c.upTo("limits.file_descriptors", int64(limits.FileDescriptors), maxDescriptors)
	descriptors, memory := int64(maxDescriptors), int64(maxMemoryMB)
	if limits.FileDescriptors > 0 {
		descriptors = int64(limits.FileDescriptors)
	}
	if limits.MemoryMB > 0 {
		memory = int64(limits.MemoryMB)
	}
	c.upTo("limits.caller_connections", int64(limits.CallerConnections), descriptors*callerDescriptorParts/quarter)
	c.upTo("limits.caller_body_bytes", limits.CallerBodyBytes, memory*bytesPerMB/quarter)
	c.upTo("limits.caller_body_bytes_per_s", limits.CallerBodyRate, maxCallerBodyRate)
}

// upTo adds a finding for a value that is negative or above a maximum.
func (c *checker) upTo(field string, value, maximum int64) {
	if value < 0 || value > maximum {
		c.addf(field, "must be between 0 and %d, not %d", maximum, value)
	}
}

func (c *checker) tls(files *TLS) {
	if files == nil {
		return
	}
	for _, file := range []struct{ field, path string }{
		{"tls.cert", files.Cert}, {"tls.key", files.Key}, {"tls.ca", files.CA},
	} {
		if file.path == "" {
			c.addf(file.field, "is missing")
		}
	}
}
