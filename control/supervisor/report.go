package supervisor

import (
	"fmt"

	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// ReportProposal is the leader's response to a Report. Command must be committed
// before the report is accepted.
type ReportProposal struct {
	Command []byte
}

// report converts a report to the command that its receiver must commit.
func (s *Supervisor) report(now timer.Instant, raftStatus replicator.RaftStatus, report *messenger.Report) (any, [][]byte) {
	if !raftStatus.Leading {
		return &NotLeader{Leader: raftStatus.Leader}, nil
	}
	session := s.state.Session(report.Session)
	if session == nil {
		return &messenger.ReportResponse{}, nil
	}
	command := assigner.Command{Time: assigner.Milliseconds(now.Wall)}
	switch {
	case len(report.Death) > 0:
		command.Death = &assigner.Death{Session: report.Session, Number: report.Number, Rows: report.Death}
	case report.Stalled != "":
		command.Notice = &assigner.Notice{
			Number:  logger.BackgroundRequestStalled.Number,
			Subject: session.Row.Router,
			Text:    fmt.Sprintf("request %s", report.Stalled),
		}
	default:
		return &messenger.ReportResponse{Accepted: true}, nil
	}
	data, err := assigner.Encode(&command)
	if err != nil {
		return &messenger.ReportResponse{}, nil
	}
	return &ReportProposal{Command: data}, nil
}
