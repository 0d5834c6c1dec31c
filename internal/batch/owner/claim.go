package owner

import (
	"math/rand/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// claimAfter is the silence after which an owner counts as gone: three
	// heartbeats.
	claimAfter clock.Millis = 3 * clock.Second
	// claimSpread is the range of the random delay that keeps claims apart.
	claimSpread clock.Millis = 250
	// claimRank is the delay for each live entry that comes before in the order
	// of a cell, which spreads the cells over the entries; at most maxClaimRank.
	claimRank clock.Millis = 350
	// maxClaimRank bounds the sum of those delays.
	maxClaimRank int = 3
	// foreignDelay lets the entries of the cell's own failure domain go first.
	foreignDelay clock.Millis = 2 * clock.Second
	// handBackAfter is how long an entry of another failure domain owns a cell
	// before it may hand it back.
	handBackAfter clock.Millis = 5 * clock.Second
	// peerFresh is how new a sign must be for its entry to count as back.
	peerFresh clock.Millis = 5 * clock.Second
)

// claims is the state of this entry's attempts to own the cell.
type claims struct {
	random  *rand.Rand
	delay   clock.Millis // random part, drawn anew for each owner that falls silent
	pending bool         // a claim has no outcome yet
	vacant  clock.Millis // since when nobody owns the cell
}

func newClaims(options Options) claims {
	random := rand.New(rand.NewPCG(options.Seed, seedOf(options.Entry+options.Cell)))
	return claims{random: random, delay: clock.Millis(random.Int64N(int64(claimSpread)))}
}

// claim tries to own the cell when its owner is gone.
func (owner *Owner) claim(now clock.Millis) {
	if owner.claims.pending || owner.leaving || owner.Owns() || !owner.mayClaim(now) {
		return
	}
	owner.claims.pending = true
	owner.count.Claims++
	record := cell.Claim{Epoch: owner.state.Epoch() + 1, Entry: owner.options.Entry, Domain: owner.options.Domain}
	owner.add(cell.Encode(record), func(_ stream.Offset, err error) {
		if err != nil {
			owner.claims.pending = false
		}
	})
}

func (owner *Owner) mayClaim(now clock.Millis) bool {
	if owner.view.broken || now-owner.view.atEnd > viewGap {
		return false
	}
	delay := owner.claims.delay + clock.Millis(owner.rank())*claimRank
	if owner.options.Domain != owner.domain {
		delay += foreignDelay
	}
	if name, _ := owner.state.Owner(); name != "" {
		return owner.silence() >= claimAfter+delay
	}
	if owner.state.Heir() == owner.options.Entry {
		return true
	}
	return owner.view.atEnd-max(owner.claims.vacant, owner.view.since) >= delay
}

// rank returns how many live entries of the cell's failure domain, the silent
// owner left out, come before this one in the order of the cell.
func (owner *Owner) rank() int {
	name, _ := owner.state.Owner()
	own := seedOf(owner.options.Entry + owner.options.Cell)
	before := 0
	for _, peer := range owner.world.Entries {
		if !peer.Live || peer.Domain != owner.domain || peer.Name == name || peer.Name == owner.options.Entry {
			continue
		}
		if seedOf(peer.Name+owner.options.Cell) < own {
			before++
		}
	}
	return min(before, maxClaimRank)
}

// claimed follows a claim that was read.
func (owner *Owner) claimed(event cell.Event, now clock.Millis) {
	if owner.mine(event) {
		owner.claims.pending = false
	}
	if !event.Valid {
		return
	}
	owner.view.heard = now
	owner.claims.delay = clock.Millis(owner.claims.random.Int64N(int64(claimSpread)))
	if !owner.mine(event) {
		owner.lose("another entry claimed the cell")
		return
	}
	owner.ownEpoch = owner.state.Epoch()
	owner.ownSince = now
	owner.nextSign = now
	owner.count.Takeovers++
	owner.sched = newScheduler(owner, now)
	owner.options.Log.Info().Str("cell", owner.options.Cell).Int64("epoch", owner.ownEpoch).Msg("owns the cell")
}

// handedOver follows a handover that was read.
func (owner *Owner) handedOver(event cell.Event, now clock.Millis) {
	if !event.Valid {
		return
	}
	owner.claims.vacant = now
	owner.lose("handed the cell over")
}

func (owner *Owner) lose(why string) {
	if owner.sched == nil || owner.broken.noYield {
		return
	}
	owner.sched = nil
	owner.options.Log.Info().Str("cell", owner.options.Cell).Int64("epoch", owner.ownEpoch).
		Str("reason", why).Msg("no longer owns the cell")
}

// Handover gives up ownership by record, and claims no more. Nothing is
// scheduled from now on; renewals go on.
func (owner *Owner) Handover() {
	owner.leaving = true
	if owner.Owns() {
		owner.giveUp(owner.heir())
	}
}

func (owner *Owner) giveUp(to string) {
	owner.add(cell.Encode(cell.Handover{Epoch: owner.ownEpoch, To: to}), nil)
	owner.sched.closed = true
}

// heir returns the live entry to hand the cell to, of its own failure domain
// where one is, or "".
func (owner *Owner) heir() string {
	best := ""
	for _, peer := range owner.world.Entries {
		if !peer.Live || peer.Name == owner.options.Entry {
			continue
		}
		if peer.Domain == owner.domain {
			return peer.Name
		}
		if best == "" {
			best = peer.Name
		}
	}
	return best
}

// handBack returns the cell to its own failure domain, once an entry of it
// writes to the stream again.
func (owner *Owner) handBack(now clock.Millis) {
	if owner.options.Domain == owner.domain || now-owner.ownSince < handBackAfter {
		return
	}
	seen, name := owner.peers.Seen(owner.domain)
	if name == "" || now-seen > peerFresh {
		return
	}
	owner.giveUp(name)
}
