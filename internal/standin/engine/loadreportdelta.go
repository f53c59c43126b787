package engine

import "pollenspindle.example/pollenspindle/internal/engine"

// maxServedReports is the number of served reports that an engine keeps to send
// deltas against: one for each client that polls it, and a few for lost responses.
const maxServedReports = 8

// LoadReportDelta is a load report encoded as the difference from an earlier one.
type LoadReportDelta struct {
	Tag                 string                   `json:"tag"`
	After               string                   `json:"after"`
	MeasuredMillisAgo   int64                    `json:"measuredMillisAgo"`
	State               engine.LoadState         `json:"state,omitempty"`
	UsedTokens          *int                     `json:"usedTokens,omitempty"`
	CachedTokens        *int                     `json:"cachedTokens,omitempty"`
	Waiting             *int                     `json:"waiting,omitempty"`
	TokenIntervalMillis *float64                 `json:"tokenIntervalMillis,omitempty"`
	Preemptions         *int64                   `json:"preemptions,omitempty"`
	AcceptedTotal       *int64                   `json:"acceptedTotal,omitempty"`
	FinishedTotal       *int64                   `json:"finishedTotal,omitempty"`
	RefusedTotal        *int64                   `json:"refusedTotal,omitempty"`
	MaxPerSecond        *float64                 `json:"maxPerSecond,omitempty"`
	Running             []engine.RunningSequence `json:"running,omitempty"`
	Ended               []int                    `json:"ended,omitempty"`
	Outputs             []int                    `json:"outputs,omitempty"`
}

// DiffLoadReports returns the difference between two reports of one incarnation.
func DiffLoadReports(before, after engine.LoadReport) LoadReportDelta {
	c := LoadReportDelta{
		Tag:               after.Tag,
		After:             before.Tag,
		MeasuredMillisAgo: after.MeasuredMillisAgo,
		UsedTokens:        diffInt(before.UsedTokens, after.UsedTokens),
		CachedTokens:      diffInt(before.CachedTokens, after.CachedTokens),
		Waiting:           diffInt(before.Waiting, after.Waiting),
		Preemptions:       diffInt64(before.Preemptions, after.Preemptions),
		AcceptedTotal:     diffInt64(before.AcceptedTotal, after.AcceptedTotal),
		FinishedTotal:     diffInt64(before.FinishedTotal, after.FinishedTotal),
		RefusedTotal:      diffInt64(before.RefusedTotal, after.RefusedTotal),
	}
	if before.State != after.State {
		c.State = after.State
	}
	if before.TokenIntervalMillis != after.TokenIntervalMillis {
		c.TokenIntervalMillis = &after.TokenIntervalMillis
	}
	if before.MaxPerSecond != after.MaxPerSecond {
		c.MaxPerSecond = &after.MaxPerSecond
	}
	currentByID := map[string]engine.RunningSequence{}
	for _, s := range after.Running {
		currentByID[s.ID] = s
	}
	for i, s := range before.Running {
		if current, ok := currentByID[s.ID]; ok {
			c.Outputs = append(c.Outputs, current.OutputTokens)
			delete(currentByID, s.ID)
		} else {
			c.Ended = append(c.Ended, i)
		}
	}
	for _, s := range after.Running {
		if _, started := currentByID[s.ID]; started {
			c.Running = append(c.Running, s)
		}
	}
	return c
}

func diffInt(before, after int) *int {
	if before == after {
		return nil
	}
	return &after
}

func diffInt64(before, after int64) *int64 {
	if before == after {
		return nil
	}
	return &after
}
