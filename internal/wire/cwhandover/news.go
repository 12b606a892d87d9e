package cwhandover

import (
	"encoding/json"
	"sync"
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
	Topics           []topicBody `json:"topics"`
	HeldUS           int64       `json:"heldUs,omitempty"`
	TargetsAway      bool        `json:"targetsAway,omitempty"`
	TargetsUnsettled bool        `json:"targetsUnsettled,omitempty"`
}

type topicBody struct {
	Version cwfeed.Version `json:"version"`
	Whole   bool           `json:"whole,omitempty"`
	Rows    []rowBody      `json:"rows,omitempty"`
	// Packed is the rows as JSON, compressed, where they are many.
	Packed []byte `json:"packed,omitempty"`
	AgeUS  int64  `json:"ageUs"`
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

// packer packs the rows of news, and keeps those of whole topics.
//
// The load it answers: a data centre starts at once, and sixteen instances ask one for all
// rows of a large deployment: a megabyte each over a link of a few megabytes a second.
type packer struct {
	mu sync.Mutex
	// packed are the rows of whole topics as they were last told.
	packed [cwport.TopicCount]packedTopic
}

type packedTopic struct {
	version cwfeed.Version
	bytes   []byte
}

// packRowsAbove is the number of rows from which they are packed together.
const packRowsAbove = 64

// body returns news as they are sent.
func (p *packer) body(n cwport.News) (newsBody, error) {
	b := newsBody{HeldUS: n.Held.Microseconds(), TargetsAway: n.TargetsAway, TargetsUnsettled: n.TargetsUnsettled}
	for i, t := range n.Topics {
		tb := topicBody{Version: t.Version, Whole: t.Whole, AgeUS: t.Age.Microseconds()}
		if len(t.Rows) > packRowsAbove {
			packed, err := p.pack(cwport.Topic(i), t)
			if err != nil {
				return newsBody{}, err
			}
			tb.Packed = packed
		} else {
			tb.Rows = bodyOfRows(t.Rows)
		}
		b.Topics = append(b.Topics, tb)
	}
	return b, nil
}

func bodyOfRows(rows []cwport.Row) []rowBody {
	var out []rowBody
	for _, r := range rows {
		out = append(out, rowBody(r))
	}
	return out
}

// pack returns a topic's rows packed. Those of a whole topic are packed once, whoever
// asks.
func (p *packer) pack(topic cwport.Topic, t cwport.TopicNews) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := &p.packed[topic]
	if t.Whole && kept.bytes != nil && kept.version == t.Version {
		return kept.bytes, nil
	}
	text, err := json.Marshal(bodyOfRows(t.Rows))
	if err != nil {
		return nil, err
	}
	packed, err := cwpack.Pack(text)
	if err == nil && t.Whole {
		*kept = packedTopic{version: t.Version, bytes: packed}
	}
	return packed, err
}

// news reads what an instance tells. An age or a hold that is out of range proves
// nothing, so the whole answer counts as unreadable.
func (b newsBody) news() (cwport.News, error) {
	if len(b.Topics) != cwport.TopicCount || b.HeldUS < 0 {
		return cwport.News{}, &UnreadableError{What: "news"}
	}
	n := cwport.News{Held: micros(b.HeldUS), TargetsAway: b.TargetsAway, TargetsUnsettled: b.TargetsUnsettled}
	for i, tb := range b.Topics {
		if tb.AgeUS < 0 {
			return cwport.News{}, &UnreadableError{What: "age of news"}
		}
		t := cwport.TopicNews{Version: tb.Version, Whole: tb.Whole, Age: micros(tb.AgeUS)}
		rows, err := tb.rows()
		if err != nil {
			return cwport.News{}, err
		}
		for _, r := range rows {
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

// rows returns the rows of a topic, unpacked.
func (b topicBody) rows() ([]rowBody, error) {
	if len(b.Packed) == 0 {
		return b.Rows, nil
	}
	text, err := cwpack.Unpack(b.Packed)
	if err != nil {
		return nil, &UnreadableError{What: "packed rows: " + err.Error()}
	}
	var rows []rowBody
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, &UnreadableError{What: "packed rows: " + err.Error()}
	}
	return rows, nil
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
