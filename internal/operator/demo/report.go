package demo

import "github.com/oriolepier/oriolepier/internal/standin/witness"

// Report is the last line of the demo.
type Report struct {
	RequestsSent          int     `json:"requests_sent"`
	RequestsAnswered      int     `json:"requests_answered"`
	RequestsRefusedNotRun int     `json:"requests_refused_not_run"`
	RequestsUnknown       int     `json:"requests_unknown"`
	RequestsWrongAnswer   int     `json:"requests_wrong_answer"`
	RequestsRefusedButRan int     `json:"requests_refused_but_ran"`
	NotRepeatableRanTwice int     `json:"not_repeatable_ran_twice"`
	LatencyP50MS          float64 `json:"latency_p50_ms"`
	LatencyP99MS          float64 `json:"latency_p99_ms"`
	TasksAccepted         int     `json:"tasks_accepted"`
	TasksFinished         int     `json:"tasks_finished"`
	TasksCancelled        int     `json:"tasks_cancelled"`
	TasksResubmitted      int     `json:"tasks_resubmitted"`
	TasksNotAccepted      int     `json:"tasks_not_accepted"`
	TasksLost             int     `json:"tasks_lost"`
	TasksDoubled          int     `json:"tasks_doubled"`
	Evictions             int     `json:"evictions"`
	LeasesLapsed          int     `json:"leases_lapsed"`
	StartsInOutDomain     int     `json:"starts_in_out_domain"`
	RequestsAfterOut      int     `json:"requests_after_out"`
	OvercommittedVMs      int     `json:"overcommitted_vms"`
	CheckpointsMisused    int     `json:"checkpoints_misused"` // resumed twice or passed over
	EntriesLost           int     `json:"entries_lost"`        // on purpose
	AppendsPerSecondMost  int     `json:"log_appends_per_second_most"`
	ConfigVersion         int64   `json:"config_version"` // seen at all entries that are left

	broken bool
}

func (stage *stage) report() Report {
	verdict := stage.site.Record.Verdict()
	stage.figures.mu.Lock()
	defer stage.figures.mu.Unlock()
	return Report{
		RequestsSent:          verdict.RequestsSent,
		RequestsAnswered:      verdict.RequestsAnswered,
		RequestsRefusedNotRun: verdict.RequestsRefusedNotRun,
		RequestsUnknown:       verdict.RequestsUnknown,
		RequestsWrongAnswer:   verdict.RequestsWrongAnswer,
		RequestsRefusedButRan: verdict.RequestsRefusedButRan,
		NotRepeatableRanTwice: verdict.NotRepeatableRanTwice,
		LatencyP50MS:          stage.caller.Latency(50),
		LatencyP99MS:          stage.caller.Latency(99),
		TasksAccepted:         verdict.TasksAccepted,
		TasksFinished:         verdict.TasksFinished,
		TasksCancelled:        stage.figures.cancelled,
		TasksResubmitted:      stage.figures.resubmitted,
		TasksNotAccepted:      stage.figures.unaccepted,
		TasksLost:             verdict.TasksOpen,
		TasksDoubled:          doubled(verdict) + stage.figures.otherID,
		Evictions:             verdict.Evictions,
		LeasesLapsed:          verdict.LeasesLapsed,
		StartsInOutDomain:     verdict.StartsInOutDomain,
		RequestsAfterOut:      verdict.RequestsAfterOut,
		OvercommittedVMs:      verdict.OvercommittedVMs,
		CheckpointsMisused:    verdict.CheckpointsResumedTwice + verdict.ResumesMissed,
		EntriesLost:           stage.lost,
		AppendsPerSecondMost:  stage.site.Log.Stats().MostAppendsInSec,
		ConfigVersion:         stage.lowestVersion(),
		broken:                verdict.Broken(),
	}
}

func doubled(verdict witness.Verdict) int {
	return verdict.TasksDoubled + verdict.TasksOverlapping + verdict.AttemptsStartedTwice
}

// lowestVersion is the oldest configuration that an entry reported last.
func (stage *stage) lowestVersion() int64 {
	stage.mu.Lock()
	defer stage.mu.Unlock()
	lowest := stage.version
	for _, member := range stage.entries {
		lowest = min(lowest, member.version)
	}
	return lowest
}

// kept reports whether all that must hold did, and work was done at all.
func (report Report) kept() bool {
	return !report.broken && report.TasksLost == 0 && report.TasksDoubled == 0 &&
		report.RequestsAnswered > 0 && report.TasksFinished > 0
}
