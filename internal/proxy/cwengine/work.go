package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
)

// work is a statement in the form in which a target gets it.
type work struct {
	command cwstatement.Command
	// prepare is the statement that command executes; nil for other commands.
	prepare *preparedStatement
	writes  bool
}

// newWork converts a read, write or execute to the form in which a target gets it.
func (s *session) newWork(st cwstatement.Statement) (work, cwstatement.Response) {
	w := work{command: cwstatement.Command{ID: st.ID, Verb: st.Verb, Text: st.Text}, writes: st.Verb == cwstatement.Write}
	if st.Verb != cwstatement.Execute {
		return w, cwstatement.Response{}
	}
	p, ok := s.prepared[st.Name]
	if !ok {
		return work{}, cwstatement.Failure(cwstatement.NotPrepared, "no statement is named "+st.Name)
	}
	w.prepare, w.writes = &p, p.writes
	w.command.Name, w.command.Args = p.name, st.Args
	return w, cwstatement.Response{}
}

// readRequirement returns how new the data must be that a read of the session sees.
func (s *session) readRequirement(e cwcatalogue.Entry, began time.Time) cwleadership.Read {
	if e.Contract.Reads == cwcatalogue.ReadLatest {
		return cwleadership.Read{ArrivedAt: began}
	}
	rd := cwleadership.Read{ArrivedAt: began, MaxAge: e.Contract.MaxAge}
	if e.Contract.Reads == cwcatalogue.ReadYourWrites {
		rd.LastWrite = s.lastWrites[e.Groups[0].Name]
	}
	return rd
}

func (s *session) recordWrite(group string, m cwgroup.LogPosition) {
	if s.lastWrites == nil {
		s.lastWrites = make(map[string]cwgroup.LogPosition, 1)
	}
	s.lastWrites[group] = m
}
