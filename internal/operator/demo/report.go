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
	ConnectionsOverLimit  int64   `json:"connections_over_limit"`
	EntriesLost           int     `json:"entries_lost"` // on purpose
	AppendsPerSecondMost  int     `json:"log_appends_per_second_most"`
	ConfigVersion         int64   `json:"config_version"` // seen at all entries that are left

	broken bool
}

// report puts together what the witness, the callers and the balancer saw.
func (stage *stage) report() Report {
	stage.figures.mu.Lock()
	defer stage.figures.mu.Unlock()
	return newReport(stage.site.Record.Verdict(), Report{
		LatencyP50MS:         stage.caller.Latency(50),
		LatencyP99MS:         stage.caller.Latency(99),
		TasksCancelled:       stage.figures.cancelled,
		TasksResubmitted:     stage.figures.resubmitted,
		TasksNotAccepted:     stage.figures.unaccepted,
		TasksDoubled:         stage.figures.otherID,
		ConnectionsOverLimit: stage.connectionsOverLimit(),
		EntriesLost:          stage.lost,
		AppendsPerSecondMost: stage.site.Log.Stats().MostAppendsInSec,
		ConfigVersion:        stage.lowestVersion(),
	})
}

// newReport adds the witness's figures to a report.
func newReport(verdict witness.Verdict, report Report) Report {
	report.RequestsSent = verdict.RequestsSent
	report.RequestsAnswered = verdict.RequestsAnswered
	report.RequestsRefusedNotRun = verdict.RequestsRefusedNotRun
	report.RequestsUnknown = verdict.RequestsUnknown
	report.RequestsWrongAnswer = verdict.RequestsWrongAnswer
	report.RequestsRefusedButRan = verdict.RequestsRefusedButRan
	report.NotRepeatableRanTwice = verdict.NotRepeatableRanTwice
	report.TasksAccepted = verdict.TasksAccepted
	report.TasksFinished = verdict.TasksFinished
	report.TasksLost = verdict.TasksOpen
	report.TasksDoubled += doubled(verdict)
	report.Evictions = verdict.Evictions
	report.LeasesLapsed = verdict.LeasesLapsed
	report.StartsInOutDomain = verdict.StartsInOutDomain
	report.RequestsAfterOut = verdict.RequestsAfterOut
	report.OvercommittedVMs = verdict.OvercommittedVMs
	report.CheckpointsMisused = verdict.CheckpointsResumedTwice + verdict.ResumesMissed
	report.broken = verdict.Broken()
	return report
}

func doubled(verdict witness.Verdict) int {
	return verdict.TasksDoubled + verdict.TasksOverlapping + verdict.AttemptsStartedTwice
}

func (stage *stage) connectionsOverLimit() (count int64) {
	for _, worker := range stage.workers() {
		count += worker.Stats().ConnectionsRefused
	}
	return count
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
	return !report.broken && report.TasksLost == 0 && report.TasksDoubled == 0 && report.ConnectionsOverLimit == 0 &&
		report.RequestsAnswered > 0 && report.TasksFinished > 0
}
