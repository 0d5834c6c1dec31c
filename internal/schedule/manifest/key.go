package manifest

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// maxSecretBytes bounds the length of a secret, and so the cost of a call with a wrong one.
const maxSecretBytes = 4096

// Key identifies the callers of a customer. It holds only a digest of the secret, so
// that no output of a manifest contains the secret.
type Key struct {
	digest  [sha256.Size]byte
	problem string // why the key is malformed; empty: it is well-formed
}

// NewKey returns the key with the given secret.
func NewKey(secret string) Key {
	return Key{digest: sha256.Sum256([]byte(secret)), problem: secretProblem(secret)}
}

// MalformedKey returns a key that identifies nobody.
func MalformedKey(problem string) Key { return Key{problem: problem} }

// secretProblem returns why a secret cannot be sent in a header, or "".
func secretProblem(secret string) string {
	switch {
	case secret == "":
		return "an empty key"
	case strings.ContainsFunc(secret, func(char rune) bool { return char < ' ' || char == 0x7f }):
		return "a key with control characters"
	case len(secret) > maxSecretBytes:
		return fmt.Sprintf("a key over %d bytes", maxSecretBytes)
	case strings.TrimSpace(secret) != secret:
		return "a key with spaces around it"
	}
	return ""
}

// hiddenKey stands for every key in output.
const hiddenKey = "[key]"

// String implements fmt.Stringer.
func (k Key) String() string { return hiddenKey }

// Format implements fmt.Formatter for all verbs.
func (k Key) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(hiddenKey)) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }
