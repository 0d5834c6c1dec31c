package setting

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const example = "../../../examples/maraval/entry.json"

// Load reads the token file relative to the settings file, trims its line end,
// resolves the TLS paths and rejects a token that is too short.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("token", "a-token-for-tests-only\n")
	file := write("entry.json", `{
		"name": "e1", "failure_domain": "a", "token_file": "token",
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "0.0.0.0:7102"},
		"platform": {"store": "[::1]:1"},
		"tls": {"cert": "c.pem", "key": "/k.pem", "ca": "ca.pem"}, // cert and ca are relative
	}`)
	entry, findings, err := Load(file)
	if err != nil || len(findings) > 0 {
		t.Fatal(err, findings)
	}
	want := Entry{
		Name: "e1", FailureDomain: "a", LogLevel: "info", NoticeMS: 5000, Token: "a-token-for-tests-only", TokenFile: filepath.Join(dir, "token"),
		Listen:   Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "0.0.0.0:7102"},
		Platform: Platform{Store: "[::1]:1"},
		TLS:      &TLS{Cert: filepath.Join(dir, "c.pem"), Key: "/k.pem", CA: filepath.Join(dir, "ca.pem")},
	}
	if diff := cmp.Diff(want, entry); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	write("token", "short")
	if _, _, err := Load(file); err == nil {
		t.Error("Load accepted a token of 5 bytes")
	}
}

// Bounds of callers that would leave too little for the rest of the process are
// refused.
func TestLimits(t *testing.T) {
	for text, valid := range map[string]bool{
		`{"memory_mb": 64, "file_descriptors": 400, "caller_connections": 300}`: true,
		`{"memory_mb": 64, "file_descriptors": 400, "caller_connections": 301}`: false,
		`{"memory_mb": 64, "caller_body_bytes": 16777216}`:                      true,
		`{"memory_mb": 64, "caller_body_bytes": 16777217}`:                      false,
		`{"caller_body_bytes_per_s": -1}`:                                       false,
	} {
		_, findings := Parse("f", []byte(`{"name": "e1", "failure_domain": "a", "platform": {"store": "[::1]:1"}, "limits": `+text+`,
			"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`))
		if (len(findings) == 0) != valid {
			t.Errorf("%s: %v", text, findings)
		}
	}
}

// Settings that Parse accepts have no findings when they are checked again.
func FuzzSettings(f *testing.F) {
	data, err := os.ReadFile(example)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, findings := Parse("f", data)
		if len(findings) == 0 && len(check(entry)) > 0 {
			t.Fatal("Parse accepted settings that check reports findings for")
		}
	})
}
