package command

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/bundle"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Limits of the records that a large publish is cut into.
const (
	chunkEdits = 2000
	chunkBytes = ledger.MaxRecordBytes / 2
)

// Publishes the rows of the files that differ from the version in force.
//
//	files ──check──> tables ──diff──> edits ──trial──> records ──append, read back──> accepted | rejected | unknown
func (ses *session) publish(ctx context.Context) int {
	opts := ses.opts.Publish
	if opts.Find != "" {
		return ses.find(ctx, opts)
	}
	set, err := ses.tables(opts.Args.Files)
	if err != nil {
		return ses.fail(err)
	}
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	if opts.Reset {
		return ses.reset(ctx, set)
	}
	follow, err := ses.follow(ctx, opts.Source)
	if err != nil {
		return ses.fail(err)
	}
	state := follow.state
	base := baseOr(opts.Base, state)
	now := ledger.Tables{Routes: state.Config().Routes, Pools: state.Config().Pools}
	wanted := completed(set, now)
	edits := ledger.Diff(now, wanted)
	if len(edits) == 0 {
		ses.sayf("nothing to change: version %d is in force", state.Version())
		return option.ExitDone
	}
	chunks, verdict, err := plan(state, base, edits, wanted, opts.Replace)
	if err != nil {
		return ses.fail(err)
	}
	if verdict.Kind != ledger.Accepted {
		ses.sayf("rejected: %s; nothing was published", verdict.Reason)
		return option.ExitFailed
	}
	if opts.DryRun {
		ses.sayf("%d edits in %d records would be accepted after version %d", len(edits), len(chunks), state.Version())
		return option.ExitDone
	}
	return ses.send(ctx, follow, base, chunks)
}

// Appends chunks one after the other, each based on the one before.
func (ses *session) send(ctx context.Context, follow *follower, base int64, chunks [][]ledger.Edit) int {
	for at, edits := range chunks {
		verdict, err := follow.append(ctx, base, edits)
		if code := ses.report(follow, verdict, err); code != option.ExitDone {
			if at > 0 {
				ses.sayf("%d of %d records were accepted before; publish again for the rest", at, len(chunks))
			}
			return code
		}
		base = int64(verdict.Offset)
	}
	return option.ExitDone
}

// Says what became of the newest change.
func (ses *session) report(follow *follower, verdict ledger.Verdict, err error) int {
	switch {
	case err != nil && fault.OutcomeOf(err).Certain():
		ses.sayf("not published: nothing was appended: %s", err)
	case err != nil:
		ses.sayf("unknown: the log did not answer in time: %s", err)
		ses.sayf("find out with: oriolepier publish --find %s/%d", follow.writer, follow.sequence)
	case verdict.Kind == ledger.Accepted:
		ses.sayf("accepted: version %d", verdict.Offset)
		return option.ExitDone
	case verdict.Kind == ledger.Unjudged:
		ses.sayf("unknown: the log lost records while this command read it")
		ses.sayf("find out with: oriolepier publish --find %s/%d", follow.writer, follow.sequence)
	default:
		ses.sayf("rejected: %s", verdict.Reason)
	}
	return option.ExitFailed
}

// Finds out what became of an earlier change.
func (ses *session) find(ctx context.Context, opts option.Publish) int {
	writer, sequence, err := opts.FindName()
	if err != nil {
		return ses.fail(err)
	}
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	follow, err := ses.follow(ctx, opts.Source)
	if err != nil {
		return ses.fail(err)
	}
	verdict, ok := follow.wanted[name{writer, sequence}]
	switch {
	case !ok:
		ses.sayf("unknown: not in the log up to offset %d; it was not appended, is still under way, or has expired", follow.state.Next()-1)
	case verdict.Kind == ledger.Accepted:
		ses.sayf("accepted: version %d (version %d is in force)", verdict.Offset, follow.state.Version())
		return option.ExitDone
	case verdict.Kind == ledger.Duplicate:
		ses.sayf("unknown: the log no longer has the first copy; %s", verdict.Reason)
	case verdict.Kind == ledger.Unjudged:
		ses.sayf("unknown: in the log at offset %d, but the log no longer has what it was judged by", verdict.Offset)
	default:
		ses.sayf("rejected: %s", verdict.Reason)
	}
	return option.ExitFailed
}

// Reads the tables of the files, which must be of one deployment.
func (ses *session) tables(names []string) (bundle.Set, error) {
	files, err := readFiles(names)
	if err != nil {
		return bundle.Set{}, err
	}
	sets, findings := bundle.Load(files)
	for _, finding := range findings {
		ses.sayf("%s", finding)
	}
	if len(findings) > 0 {
		return bundle.Set{}, errors.New("nothing was published")
	}
	if len(sets) != 1 {
		return bundle.Set{}, errors.New("the files are in several directories; publish one deployment at a time")
	}
	if sets[0].Routes == nil && sets[0].Pools == nil {
		return bundle.Set{}, errors.New("no table among the files")
	}
	return sets[0], nil
}

// Takes the table that the files lack from the version in force.
func completed(set bundle.Set, now ledger.Tables) ledger.Tables {
	wanted := now
	if set.Routes != nil {
		wanted.Routes = *set.Routes
	}
	if set.Pools != nil {
		wanted.Pools = *set.Pools
	}
	return wanted
}

// Cuts edits into records and tries them on the state in force. If the edits
// can't be made one by one, both tables are replaced whole.
func plan(state ledger.State, base int64, edits []ledger.Edit, wanted ledger.Tables, whole bool) ([][]ledger.Edit, ledger.Verdict, error) {
	replace := [][]ledger.Edit{{{Replace: &wanted}}}
	if whole {
		verdict, err := try(state, base, replace)
		return replace, verdict, err
	}
	chunks, err := cut(edits)
	if err != nil {
		return nil, ledger.Verdict{}, err
	}
	verdict, err := try(state, base, chunks)
	if err == nil && verdict.Kind == ledger.Accepted {
		return chunks, verdict, nil
	}
	other, failure := try(state, base, replace)
	if failure == nil && (other.Kind == ledger.Accepted || base == state.Version()) {
		return replace, other, nil
	}
	return chunks, verdict, err
}

// Returns the first verdict that is not accepted, or the last.
func try(state ledger.State, base int64, chunks [][]ledger.Edit) (ledger.Verdict, error) {
	var verdict ledger.Verdict
	for at, edits := range chunks {
		data, err := ledger.Encode(ledger.Change{Writer: "trial", Sequence: uint64(at), Base: base, Edits: edits})
		if err != nil {
			return verdict, err
		}
		state, verdict = state.With(stream.Record{Offset: state.Next(), Data: data})
		if verdict.Kind != ledger.Accepted {
			return verdict, nil
		}
		base = state.Version()
	}
	return verdict, nil
}

func cut(edits []ledger.Edit) ([][]ledger.Edit, error) {
	var chunks [][]ledger.Edit
	var chunk []ledger.Edit
	size := 0
	for _, edit := range edits {
		data, err := codec.Marshal(edit)
		if err != nil {
			return nil, err
		}
		if len(chunk) == chunkEdits || (size+len(data) > chunkBytes && len(chunk) > 0) {
			chunks = append(chunks, chunk)
			chunk, size = nil, 0
		}
		chunk = append(chunk, edit)
		size += len(data)
	}
	return slices.Concat(chunks, [][]ledger.Edit{chunk}), nil
}

func baseOr(given int64, state ledger.State) int64 {
	if given < 0 {
		return state.Version()
	}
	return given
}

// Opens the log, reads the config stream to its end, and insists on a whole
// state.
func (ses *session) follow(ctx context.Context, source option.Source) (*follower, error) {
	follow, err := ses.open(source)
	if err != nil {
		return nil, err
	}
	return follow, follow.begin(ctx)
}

func (ses *session) open(source option.Source) (*follower, error) {
	base := source.Log
	if source.Settings != "" {
		entry, findings, err := setting.Load(source.Settings)
		if err != nil {
			return nil, err
		}
		if len(findings) > 0 {
			return nil, errors.New(findings[0].String())
		}
		base = entry.Platform.Log
	}
	newLog := ses.runners.Log
	if newLog == nil {
		newLog = remote.NewLog
	}
	return newFollower(newLog(base, &http.Client{})), nil
}
