package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions is the number of partitions of a topic.
const partitions = 12

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{} // closed with each append
	parts   map[string][][]byte
	groups  map[string]*group
	// joinedAt is when each member last joined.
	joinedAt map[string]time.Time
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), changed: make(chan struct{}), parts: map[string][][]byte{}, groups: map[string]*group{}, joinedAt: map[string]time.Time{}}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

func partition(topic, part string) string { return topic + "/" + part }

// put appends a record of a key to a keyed topic; a nil value removes the key.
func (s *store) put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(partition(topic, "0"), append(record, value...))
}

func (s *store) appendLocked(name string, records ...[]byte) {
	s.parts[name] = append(s.parts[name], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /-/log-read":
		s.read(w, r)
	case "GET /-/log-newest":
		s.newest(w, q.Get("topic"), q.Get("part"), q.Get("after"))
	case "POST /-/log-append":
		s.append(w, r)
	case "POST /-/log-join":
		s.join(w, r)
	case "POST /-/log-leave":
		s.leave(w, r)
	case "GET /-/log-owners":
		s.owners(w, q.Get("group"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := partition(q.Get("topic"), q.Get("part"))
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer end.Stop()
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		records, changed := s.parts[name], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from == len(records) && waiting {
			select {
			case <-changed:
				continue
			case <-end.C:
				waiting = false
				continue
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records[from:] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		_, _ = w.Write(out)
		return
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

const pageItems = 500

func (s *store) newest(w http.ResponseWriter, topic, part, after string) {
	s.mu.Lock()
	records := s.parts[partition(topic, part)]
	s.mu.Unlock()
	latest := map[string]newestItem{}
	for i, record := range records {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if delete(latest, key); len(value) > 0 {
			latest[key] = newestItem{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := []newestItem{}
	for key, item := range latest {
		if key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": more, "end": len(records)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, data = append(records, data[4:4+n]), data[4+n:]
	}
	q := r.URL.Query()
	name := partition(q.Get("topic"), q.Get("part"))
	s.mu.Lock()
	offset := len(s.parts[name])
	s.appendLocked(name, records...)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": offset, "end": offset + len(records)})
}

type groupCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
	// Generation is the last one that the member received.
	Generation int64 `json:"generation"`
}

// place is a partition of a topic.
type place struct {
	topic string
	part  int
}

// group is a group of members, each of which holds partitions.
type group struct {
	generation int64
	members    map[string]time.Time // until when
	places     []place
	// holders are the members that hold the partitions. One that is to give a partition up holds it until
	// it joins with the present generation, leaves or expires.
	holders map[place]string
}

func (s *store) groupLocked(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}, holders: map[place]string{}}
		s.groups[name] = g
	}
	for member, until := range g.members {
		if time.Now().After(until) {
			g.remove(member)
		}
	}
	return g
}

func (g *group) remove(member string) {
	if _, ok := g.members[member]; !ok {
		return
	}
	delete(g.members, member)
	g.generation++
	g.deal()
}

// owner returns the member that is to hold the partition with an index.
func (g *group) owner(index int) string {
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return ""
	}
	return names[index%len(names)]
}

// deal gives the partitions that no member holds to their owners.
func (g *group) deal() {
	for i, p := range g.places {
		if _, ok := g.members[g.holders[p]]; !ok {
			g.holders[p] = g.owner(i)
		}
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.groupLocked(c.Group)
	for _, topic := range c.Topics {
		for part := range partitions {
			if p := (place{topic, part}); !slices.Contains(g.places, p) {
				g.places = append(g.places, p)
			}
		}
	}
	if _, ok := g.members[c.Member]; !ok {
		g.generation++
	}
	s.joinedAt[c.Member] = time.Now()
	g.members[c.Member] = time.Now().Add(time.Duration(c.TTLMs) * time.Millisecond)
	g.deal()
	rows := [][]any{}
	for i, p := range g.places {
		switch owner := g.owner(i); {
		case g.holders[p] == c.Member && owner == c.Member:
			rows = append(rows, []any{p.topic, p.part, 0})
		case g.holders[p] == c.Member && c.Generation >= g.generation:
			g.holders[p] = owner
		}
	}
	generation := g.generation
	s.mu.Unlock()
	writeJSON(w, map[string]any{"generation": generation, "ttlMs": c.TTLMs, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.groupLocked(c.Group).remove(c.Member)
	s.mu.Unlock()
	writeJSON(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	g := s.groupLocked(name)
	rows := [][]any{}
	for _, p := range g.places {
		if holder := g.holders[p]; holder != "" {
			rows = append(rows, []any{p.topic, p.part, holder, 0})
		}
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{"parts": rows})
}

// joinAge returns the time since a member whose name begins with that of a machine has joined.
func (s *store) joinAge(machine string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest time.Time
	for member, at := range s.joinedAt {
		if strings.HasPrefix(member, machine+"@") {
			latest = later(latest, at)
		}
	}
	return time.Since(latest)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
