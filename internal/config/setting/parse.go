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

// Limits of the settings.
const (
	MaxFileBytes               = 256 << 10
	maxPeers                   = 1024
	minTokenBytes              = 16 // shorter ones can be guessed
	maxTokenBytes              = 512
	maxNotice     clock.Millis = 10 * clock.Minute
)

// defaultNotice stands where the file says nothing: balancers probe every second
// or two and want several failures in a row.
const defaultNotice = 5 * clock.Second

var shapes = []document.Shape{
	{
		Prototype: Entry{LogLevel: zerolog.LevelInfoValue, NoticeMS: defaultNotice},
		Required:  []string{"name", "failure_domain", "listen", "platform"},
	},
	{Prototype: Listen{}, Required: []string{"callers", "operators", "peers"}},
	{Prototype: Platform{}, Required: []string{"store"}},
	{Prototype: Peer{}, Required: []string{"name", "failure_domain", "address"}},
	{Prototype: TLS{}, Required: []string{"cert", "key", "ca"}},
}

// Parse reads a settings file. It opens no other file; see Load.
func Parse(file string, data []byte) (Entry, []table.Finding) {
	doc, findings := document.Parse(file, data, MaxFileBytes)
	if len(findings) > 0 {
		return Entry{}, findings
	}
	return Decode(doc)
}

// Decode is Parse of a document whose syntax was read before.
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

// Load reads a settings file and the token file that it names. The paths in
// the settings become relative to the working directory.
func Load(file string) (Entry, []table.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, nil, errors.Wrap(err, "read settings")
	}
	entry, findings := Parse(file, data)
	if len(findings) > 0 {
		return entry, findings, nil
	}
	beside := func(path string) string {
		if filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(filepath.Dir(file), path)
	}
	if entry.TLS != nil {
		entry.TLS = &TLS{Cert: beside(entry.TLS.Cert), Key: beside(entry.TLS.Key), CA: beside(entry.TLS.CA)}
	}
	if entry.TokenFile == "" {
		return entry, nil, nil
	}
	entry.TokenFile = beside(entry.TokenFile)
	token, err := ReadToken(entry.TokenFile)
	return entry.WithToken(token), nil, err
}

// ReadToken reads a shared token from a file, less the white space round it.
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

func tokenProblem(token string) string {
	if len(token) < minTokenBytes || len(token) > maxTokenBytes {
		return fmt.Sprintf("must have %d to %d bytes, not %d", minTokenBytes, maxTokenBytes, len(token))
	}
	if strings.ContainsFunc(token, func(char rune) bool { return char <= ' ' || char > '~' }) {
		return "must be printable ASCII without spaces"
	}
	return ""
}

type report struct{ found []table.Finding }

func (list *report) addf(field, format string, values ...any) {
	list.found = append(list.found, table.Finding{Field: field, Message: fmt.Sprintf(format, values...)})
}

func check(entry Entry) []table.Finding {
	list := &report{}
	list.name("name", entry.Name)
	list.name("failure_domain", entry.FailureDomain)
	list.listen(entry.Listen)
	list.peers(entry)
	list.address("platform.store", entry.Platform.Store, false)
	list.level(entry.LogLevel)
	list.within("notice_ms", entry.NoticeMS, 1, maxNotice)
	list.token(entry)
	list.tls(entry.TLS)
	return list.found
}

func (list *report) within(field string, value, least, most clock.Millis) {
	if value < least || value > most {
		list.addf(field, "must be between %d and %d, not %d", least, most, value)
	}
}

func (list *report) name(field, name string) {
	if name == "" {
		list.addf(field, "is missing")
	} else if !table.ValidName(name) {
		list.addf(field, "%q is not a name: letters, digits, '-' and '_', the first a letter or digit", name)
	}
}

func (list *report) listen(listen Listen) {
	list.address("listen.callers", listen.Callers, true)
	list.address("listen.operators", listen.Operators, true)
	list.address("listen.peers", listen.Peers, true)
	list.distinct("listen.callers", listen.Callers, listen.Operators, listen.Peers)
	list.distinct("listen.peers", listen.Peers, listen.Operators)
}

// Port 0 stands for any free port, so two of them do not clash.
func (list *report) distinct(field, address string, others ...string) {
	place, err := netip.ParseAddrPort(address)
	if err == nil && place.Port() != 0 && slices.Contains(others, address) {
		list.addf(field, "%s is another listener's address too", address)
	}
}

// A listener may stand at all addresses of the VM and, in tests, at a port
// that the system picks; others must be reached and may not.
func (list *report) address(field, address string, listener bool) {
	place, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		list.addf(field, "is missing")
	case err != nil:
		list.addf(field, "%q is not an IP address and port", address)
	case !listener && place.Addr().IsUnspecified():
		list.addf(field, "%q is the address of no VM", address)
	case !listener && place.Port() == 0:
		list.addf(field, "%q has no port", address)
	}
}

func (list *report) peers(entry Entry) {
	if len(entry.Peers) > maxPeers {
		list.addf("peers", "names %d entries; the limit is %d", len(entry.Peers), maxPeers)
		return
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for at, peer := range entry.Peers {
		field := fmt.Sprintf("peers[%d]", at)
		list.name(field+".name", peer.Name)
		list.name(field+".failure_domain", peer.FailureDomain)
		list.address(field+".address", peer.Address, false)
		if names[peer.Name] {
			list.addf(field+".name", "duplicate entry %q", peer.Name)
		}
		if addresses[peer.Address] {
			list.addf(field+".address", "%s is another entry's address too", peer.Address)
		}
		if peer.Name == entry.Name && peer.FailureDomain != entry.FailureDomain {
			list.addf(field+".failure_domain", "%q, but this entry's own failure_domain is %q", peer.FailureDomain, entry.FailureDomain)
		}
		names[peer.Name], addresses[peer.Address] = true, true
	}
}

func (list *report) level(level string) {
	levels := []string{"trace", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, level) {
		list.addf("log_level", "must be one of %s, not %q", strings.Join(levels, ", "), level)
	}
}

func (list *report) token(entry Entry) {
	if entry.Token != "" && entry.TokenFile != "" {
		list.addf("token_file", "given beside token; give one of them")
	}
	if entry.Token != "" {
		if problem := tokenProblem(entry.Token); problem != "" {
			list.addf("token", "%s", problem)
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
			list.addf(listener.field, "unsafe: %s is open to other VMs, so a token or token_file is needed", listener.address)
		}
	}
}

func (list *report) tls(files *TLS) {
	if files == nil {
		return
	}
	for _, file := range []struct{ field, path string }{
		{"tls.cert", files.Cert}, {"tls.key", files.Key}, {"tls.ca", files.CA},
	} {
		if file.path == "" {
			list.addf(file.field, "is missing")
		}
	}
}
