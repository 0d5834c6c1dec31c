package manifest

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Malformed and shared keys identify nobody, a doubled name keeps its first weight,
// and each fault of the list is reported once, by names.
func TestWithCustomersProblems(t *testing.T) {
	tables := New(1, nil, nil, Limits{}).WithCustomers([]Customer{
		{Name: "b", Keys: []Key{NewKey("of-b"), NewKey("shared"), NewKey(""), NewKey("x\ny"), NewKey("")}, Weight: 2},
		{Name: "a", Keys: []Key{NewKey("of-a"), NewKey("of-a"), NewKey("shared"), NewKey(" x")}},
		{Name: "", Keys: []Key{NewKey("of-nobody")}},
		{Name: "b", Keys: []Key{NewKey("of-b-too"), NewKey("of-b"), NewKey(strings.Repeat("k", maxSecretBytes+1))}, Weight: 9, Limit: fleet.Room{GPUs: 1}},
	})
	identified := map[string]string{}
	for _, secret := range []string{"of-b", "of-b-too", "of-a", "shared", "", "x\ny", " x", "of-nobody", "unknown", strings.Repeat("k", maxSecretBytes+1)} {
		if name, ok := tables.Identify(secret); ok {
			identified[secret] = name
		}
	}
	if diff := cmp.Diff(map[string]string{"of-b": "b", "of-b-too": "b", "of-a": "a"}, identified); diff != "" {
		t.Errorf("customers by secret (-want +got):\n%s", diff)
	}
	wantProblems := []Problem{
		{Text: "a customer has no name and is ignored"},
		{Customer: "a", Text: "a key is shared with another customer and identifies nobody"},
		{Customer: "a", Text: "a key with spaces around it is ignored"},
		{Customer: "b", Text: "a key is shared with another customer and identifies nobody"},
		{Customer: "b", Text: "a key over 4096 bytes is ignored"},
		{Customer: "b", Text: "a key with control characters is ignored"},
		{Customer: "b", Text: "an empty key is ignored"},
		{Customer: "b", Text: "the name is listed more than once: the first weight and limit have effect, and the keys of all"},
	}
	if diff := cmp.Diff(wantProblems, tables.CustomerProblems()); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
	if b, _ := tables.Customer("b"); b.Weight != 2 || b.Limit != (fleet.Room{}) {
		t.Errorf("weight and limit of b are %v, %v, want those listed first", b.Weight, b.Limit)
	}
}

// No way to print a manifest or a key shows the secret.
func TestKeyIsNotPrinted(t *testing.T) {
	const secret = "v3ry-s3cr3t"
	tables := New(1, nil, nil, Limits{}).WithCustomers([]Customer{{Name: "a", Keys: []Key{NewKey(secret)}}})
	encoded, err := json.Marshal(tables.Customers())
	if err != nil {
		t.Fatal(err)
	}
	text := string(encoded)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		text += fmt.Sprintf(verb, tables) + fmt.Sprintf(verb, tables.Customers()) + fmt.Sprintf(verb, NewKey(secret)) + fmt.Sprintf(verb, []any{NewKey(secret)})
	}
	for _, form := range []string{secret, fmt.Sprintf("%x", secret), fmt.Sprintf("%d", []byte(secret))} {
		if strings.Contains(text, form) {
			t.Errorf("the output contains the secret as %s", form)
		}
	}
}

// The cost of a call's key is below 2 us, also of a wrong one.
func BenchmarkIdentify(b *testing.B) {
	var customers []Customer
	for i := range 200 {
		customers = append(customers, Customer{Name: fmt.Sprint(i), Keys: []Key{NewKey(fmt.Sprintf("first-key-of-customer-%d", i)), NewKey(fmt.Sprintf("second-key-of-customer-%d", i))}})
	}
	tables := New(1, nil, nil, Limits{}).WithCustomers(customers)
	for b.Loop() {
		if name, ok := tables.Identify("second-key-of-customer-117"); !ok || name != "117" {
			b.Fatal("not identified")
		}
	}
}
