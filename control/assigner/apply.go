package assigner

// Apply applies the encoded command at a log index. A command that cannot be
// decoded yields VerdictInvalid.
func (s *State) Apply(index uint64, data []byte) Result {
	command, err := Decode(data)
	s.applied = index
	if err != nil {
		return invalid("", err.Error())
	}
	s.time = max(s.time, command.Time)
	if condition, ok := conditionOf(command); ok {
		return s.applyOnce(condition, command)
	}
	return s.applyInternal(command)
}

// applyInternal applies a command that the control group itself proposed.
func (s *State) applyInternal(command *Command) Result {
	switch {
	case command.Open != nil:
		return s.open(command.Open)
	case command.Update != nil:
		return s.update(command.Update)
	case command.Close != nil:
		return s.close(command.Close)
	case command.Release != nil:
		return s.release(command.Release)
	case command.Grant != nil:
		return s.grant(command.Grant)
	case command.Move != nil:
		return s.move(command.Move)
	case command.Recovered != nil:
		return s.recovered(command.Recovered)
	case command.Join != nil:
		return s.join(command.Join)
	case command.Copied != nil:
		return s.copied(command.Copied)
	case command.Promote != nil:
		return s.promote(command.Promote)
	case command.Demote != nil:
		return s.demote(command.Demote)
	case command.Death != nil:
		return s.death(command.Death)
	case command.Notice != nil:
		return s.notice(command.Notice)
	case command.Adopt != nil:
		return s.adopt(command.Adopt)
	case command.GrantRanges != nil:
		return s.grantRanges(command.GrantRanges)
	case command.MoveRanges != nil:
		return s.moveRanges(command.MoveRanges)
	case command.ReleaseRanges != nil:
		return s.releaseRanges(command.ReleaseRanges)
	case command.Configure != nil:
		return s.configure(command.Configure)
	}
	return void()
}

// applyChange applies a change requested by an operator.
func (s *State) applyChange(command *Command) Result {
	switch {
	case command.PutProfile != nil:
		return s.putProfile(command.PutProfile)
	case command.RemoveProfile != nil:
		return s.removeProfile(command.RemoveProfile)
	case command.PutService != nil:
		return s.putService(command.PutService)
	case command.Drain != nil:
		return s.drain(command.Drain)
	case command.Lift != nil:
		return s.lift(command.Lift)
	case command.Evacuate != nil:
		return s.evacuate(command.Evacuate)
	}
	return void()
}

// conditionOf returns the precondition of an operator's change, and false for
// commands of the control group.
func conditionOf(command *Command) (Condition, bool) {
	switch {
	case command.PutProfile != nil:
		return command.PutProfile.Condition, true
	case command.RemoveProfile != nil:
		return command.RemoveProfile.Condition, true
	case command.PutService != nil:
		return command.PutService.Condition, true
	case command.Drain != nil:
		return command.Drain.Condition, true
	case command.Lift != nil:
		return command.Lift.Condition, true
	case command.Evacuate != nil:
		return command.Evacuate.Condition, true
	}
	return Condition{}, false
}
