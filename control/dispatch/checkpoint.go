package dispatch

import "github.com/chicorystand/chicorystand/control/submission"

// observeCheckpoint records a checkpoint that the executor has reported for the task's run.
//
// The members of a gang work only together from the same checkpoint, and that of any member is valid for all.
// All records hold the one that was new last, since its order among the others is not known from the values. A
// member that reports its earlier one again, as those do that end with another member, does not bring it back.
func (o *Owner) observeCheckpoint(t *taskEntry, checkpoint string) {
	if checkpoint == "" || checkpoint == t.reportedCheckpoint {
		return
	}
	t.reportedCheckpoint = checkpoint
	if !t.step().Gang {
		t.rec.Checkpoint = checkpoint
		return
	}
	for _, member := range t.job.stepTasks(t.stepKey()) {
		if member.rec.State != submission.TaskDone {
			member.rec.Checkpoint = checkpoint
		}
	}
}

// unifyCheckpoints gives all members of a gang the first checkpoint among them. Only records of builds that kept
// one for each member differ; which of theirs is the newest is not known.
func unifyCheckpoints(members []*taskEntry) {
	checkpoint := ""
	for _, t := range members {
		if checkpoint = t.rec.Checkpoint; checkpoint != "" {
			break
		}
	}
	for _, t := range members {
		t.rec.Checkpoint = checkpoint
	}
}
