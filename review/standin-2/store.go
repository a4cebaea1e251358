package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Topics that the platform maintains.
const (
	operatorTopic = "keyed.op"
	replicaTopic  = "keyed.servers"
)

// Store is a stand-in of the platform's metadata store: the part of its protocol that an entry
// instance uses. Nothing expires.
type Store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	changed chan struct{}
	era     int64
	log     map[string][][]byte
	groups  map[string]*group
}

// group is a group of members. The partitions of all topics belong to one owner, the first member, until
// it has learned of a change, has left or has expired.
type group struct {
	generation int64
	members    map[string]time.Time
	order      []string
}

func newStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: l.Addr().String(), changed: make(chan struct{}), era: 1, log: map[string][][]byte{}, groups: map[string]*group{}}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

func (s *Store) close() { s.server.Close() }

// put appends a record for a key. An empty value removes the key.
func (s *Store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *Store) putJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

func (s *Store) appendLocked(topic string, record []byte) {
	s.log[topic] = append(s.log[topic], slices.Clone(record))
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if part := q.Get("part"); part != "" && part != "0" {
		topic += "#" + part
	}
	switch r.URL.Path {
	case "/-/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.read(w, r, topic, from, time.Duration(wait)*time.Millisecond)
	case "/-/log-newest":
		s.newest(w, topic, q.Get("after"))
	case "/-/log-append":
		s.append(w, r, topic)
	case "/-/log-join":
		s.join(w, r)
	case "/-/log-leave":
		s.leave(w, r)
	case "/-/log-owners":
		s.owners(w, q.Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) head(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

func (s *Store) send(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	s.head(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic string, from int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.log[topic], s.changed
		end := int64(len(records))
		if from < 0 || from > end {
			s.send(w, http.StatusGone, map[string]any{"first": 0})
			s.mu.Unlock()
			return
		}
		if from < end || wait <= 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
				body = append(body, rec...)
			}
			s.head(w)
			s.mu.Unlock()
			w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, topic, after string) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	last := map[string]item{}
	for i, rec := range s.log[topic] {
		n := int(rec[0])
		key := string(rec[1 : 1+n])
		delete(last, key)
		if len(rec) > 1+n {
			last[key] = item{key, base64.StdEncoding.EncodeToString(rec[1+n:]), i}
		}
	}
	items := []item{}
	for key, it := range last {
		if key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > page
	s.send(w, http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "hasMore": more, "end": len(s.log[topic])})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.log[topic])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.appendLocked(topic, body[4:4+n])
		body = body[4+n:]
	}
	s.send(w, http.StatusOK, map[string]any{"offset": first, "end": len(s.log[topic])})
}

func (s *Store) expire(g *group) {
	for _, m := range slices.Clone(g.order) {
		if time.Now().After(g.members[m]) {
			s.remove(g, m)
		}
	}
}

func (s *Store) remove(g *group, member string) {
	if _, ok := g.members[member]; !ok {
		return
	}
	delete(g.members, member)
	g.order = slices.DeleteFunc(g.order, func(x string) bool { return x == member })
	g.generation++
}

func (s *Store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: map[string]time.Time{}}
	}
	g := s.groups[name]
	s.expire(g)
	return g
}

type groupCall struct {
	Group, Member string
	Topics        []string
	TTLMs         int64 `json:"ttlMs"`
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	if _, ok := g.members[c.Member]; !ok {
		g.order = append(g.order, c.Member)
		g.generation++
	}
	g.members[c.Member] = time.Now().Add(time.Duration(c.TTLMs) * time.Millisecond)
	rows := [][]any{}
	// Topic i belongs to member i, so that each member has one; the first one has the rest.
	at := slices.Index(g.order, c.Member)
	for i, topic := range c.Topics {
		if i%len(g.order) == at {
			rows = append(rows, []any{topic, 0, 0})
		}
	}
	s.send(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(s.group(c.Group), c.Member)
	s.send(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for i, m := range s.group(name).order {
		rows = append(rows, []any{"t", i, m, 0})
	}
	s.send(w, http.StatusOK, map[string]any{"parts": rows})
}
