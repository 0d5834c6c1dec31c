// Package crowd holds tests of an entry under many untrusted callers. They
// start the program as processes on loopback addresses, open many connections that
// stay within the limits of a single request, and check what does not depend on the
// machine's speed: that the process lives, that its memory and descriptors stay
// within its settings, and that an ordinary submission is answered afterwards.
//
// # Usage
//
//	go test -count=1 -p 1 ./internal/operator/crowd
package crowd
