package cwhandover

import (
	"encoding/json"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwpack"
)

type askBody struct {
	// After has the version of each topic, in the order of cwport.Topics.
	After  []cwfeed.Version `json:"after"`
	WaitMS int64            `json:"waitMs,omitempty"`
}

type newsBody struct {
	Topics      []topicBody `json:"topics"`
	HeldUS      int64       `json:"heldUs,omitempty"`
	TargetsAway bool        `json:"targetsAway,omitempty"`
}

type topicBody struct {
	Version cwfeed.Version `json:"version"`
	Whole   bool           `json:"whole,omitempty"`
	Rows    []rowBody      `json:"rows,omitempty"`
	AgeUS   int64          `json:"ageUs"`
}

type rowBody struct {
	Key     string         `json:"key"`
	Value   []byte         `json:"value,omitempty"`
	Version cwfeed.Version `json:"version"`
	Removed bool           `json:"removed,omitempty"`
	Garbled bool           `json:"garbled,omitempty"`
	Packed  []byte         `json:"packed,omitempty"`
}

func bodyOfQuestion(q cwport.NewsQuestion) askBody {
	return askBody{After: q.After[:], WaitMS: q.Wait.Milliseconds()}
}

// questionOf reads a question for news.
func questionOf(params []byte) (cwport.NewsQuestion, error) {
	var b askBody
	if err := json.Unmarshal(params, &b); err != nil {
		return cwport.NewsQuestion{}, &UnreadableError{What: err.Error()}
	}
	if len(b.After) != cwport.TopicCount || b.WaitMS < 0 {
		return cwport.NewsQuestion{}, &UnreadableError{What: "question for news"}
	}
	return cwport.NewsQuestion{After: [cwport.TopicCount]cwfeed.Version(b.After), Wait: time.Duration(b.WaitMS) * time.Millisecond}, nil
}

func bodyOfNews(n cwport.News) newsBody {
	b := newsBody{HeldUS: n.Held.Microseconds(), TargetsAway: n.TargetsAway}
	for _, t := range n.Topics {
		tb := topicBody{Version: t.Version, Whole: t.Whole, AgeUS: t.Age.Microseconds()}
		for _, r := range t.Rows {
			tb.Rows = append(tb.Rows, rowBody(r))
		}
		b.Topics = append(b.Topics, tb)
	}
	return b
}

// news reads what an instance tells. An age or a hold that is out of range proves
// nothing, so the whole answer counts as unreadable.
func (b newsBody) news() (cwport.News, error) {
	if len(b.Topics) != cwport.TopicCount || b.HeldUS < 0 {
		return cwport.News{}, &UnreadableError{What: "news"}
	}
	n := cwport.News{Held: micros(b.HeldUS), TargetsAway: b.TargetsAway}
	for i, tb := range b.Topics {
		if tb.AgeUS < 0 {
			return cwport.News{}, &UnreadableError{What: "age of news"}
		}
		t := cwport.TopicNews{Version: tb.Version, Whole: tb.Whole, Age: micros(tb.AgeUS)}
		for _, r := range tb.Rows {
			row, err := r.row()
			if err != nil {
				return cwport.News{}, err
			}
			t.Rows = append(t.Rows, row)
		}
		n.Topics[i] = t
	}
	return n, nil
}

func (b rowBody) row() (cwport.Row, error) {
	r := cwport.Row(b)
	if len(r.Packed) == 0 {
		return r, nil
	}
	value, err := cwpack.Unpack(r.Packed)
	if err != nil {
		return cwport.Row{}, &UnreadableError{What: "packed row " + r.Key + ": " + err.Error()}
	}
	r.Value = value
	return r, nil
}
