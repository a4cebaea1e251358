package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: the store, replicas of plain services and the entry instances, which
// are the programs under test.
type world struct {
	dir       string
	program   string
	started   time.Time
	store     *store
	storeLink *link
	storeAddr string
	instances []*instance
	// partition, if set, separates the first zone's instances from the rest of the system.
	partition  *partition
	firstStart bool
	mu         sync.Mutex
	record     *os.File
	nextID     atomic.Int64
	prefix     string
	runs       map[string][]string // replica IDs by attempt
}

type instance struct {
	name, zone, ip         string
	front, ready, settings string
	cut                    bool // it is behind the partition
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
}

// fatal ends a case that could not run.
func (w *world) fatal(format string, args ...any) {
	w.logf("the case could not run: "+format, args...)
	w.stop()
	os.Exit(2)
}

func newWorld(path, program string) *world {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{dir: tmp, program: program, started: time.Now(), record: record, runs: map[string][]string{},
		prefix: strconv.FormatInt(time.Now().UnixNano(), 36), firstStart: true}
	w.store = newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("%v", err)
	}
	w.storeLink, w.storeAddr = newLink(l), l.Addr().String()
	w.storeLink.through = func(remote net.Addr) *partition {
		if w.partition == nil {
			return nil
		}
		if in := w.owner(remote); in != nil && in.cut {
			return w.partition
		}
		return nil
	}
	go func() { _ = http.Serve(w.storeLink, w.store) }()
	return w
}

// freePorts returns n different ports that are free on all addresses.
func freePorts(n int) []int {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return make([]int, n)
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out
}

// metricsPort is the port in the command of the deploy file.
const metricsPort = "9464"

// freeNetwork returns a prefix such that the addresses of n instances have a free port for metrics.
func freeNetwork(n int) string {
	for i := range 250 {
		prefix := fmt.Sprintf("127.%d", 1+(os.Getpid()+i)%250)
		free := true
		for k := range n {
			l, err := net.Listen("tcp", net.JoinHostPort(instanceIP(prefix, k), metricsPort))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix
		}
	}
	return "127.1"
}

func instanceIP(prefix string, i int) string {
	return fmt.Sprintf("%s.%d.%d", prefix, 80+i%len(zones), 11+i/len(zones))
}

var zones = []string{"norte-a", "norte-b", "norte-c"}

// start starts n entry instances with the command of the deploy file. Each has an address of its own;
// the ports are the same on all, as on the platform.
func (w *world) start(n int) {
	ports, prefix := freePorts(5), freeNetwork(n)
	front, ready, control, peer, other := ports[0], ports[1], ports[2], ports[3], ports[4]
	address := func(i int) string { return instanceIP(prefix, i) }
	port := func(i int) int {
		if w.partition != nil && i%len(zones) == 0 {
			return other
		}
		return peer
	}
	if w.partition != nil {
		// The separated instances listen for peers on a port of their own. At the ports that each side
		// dials on the other, the partition listens.
		for i := range n {
			mine, theirs := peer, other
			if port(i) == peer {
				mine, theirs = other, peer
			}
			if err := w.partition.forward(net.JoinHostPort(address(i), strconv.Itoa(mine)), net.JoinHostPort(address(i), strconv.Itoa(theirs))); err != nil {
				w.fatal("%v", err)
			}
		}
	}
	for i := range n {
		zone := zones[i%len(zones)]
		ip := address(i)
		in := &instance{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), zone: zone, ip: ip,
			front: net.JoinHostPort(ip, strconv.Itoa(front)), ready: net.JoinHostPort(ip, strconv.Itoa(ready)),
			settings: filepath.Join(w.dir, "node-"+strconv.Itoa(i)+".yaml")}
		text := fmt.Sprintf(settingsText, in.name, ip, zone, in.front, in.ready, ip, control, port(i), port(i), w.firstStart, w.storeAddr)
		if err := os.WriteFile(in.settings, []byte(text), 0o644); err != nil {
			w.fatal("%v", err)
		}
		in.cut = w.partition != nil && i%len(zones) == 0
		w.instances = append(w.instances, in)
		w.startInstance(in)
	}
}

func (w *world) startInstance(in *instance) {
	args := strings.Fields("platform --metrics-port " + metricsPort)
	in.cmd = exec.Command(w.program, args...)
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "MASTICBANK_SETTINGS=" + in.settings}
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(filepath.Join(w.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		w.fatal("%v", err)
	}
	in.cmd.Stdout, in.cmd.Stderr = out, out
	if err := in.cmd.Start(); err != nil {
		w.fatal("%v", err)
	}
	w.logf("started %s at %s, process %d", in.name, in.ip, in.cmd.Process.Pid)
	in.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(in.cmd, in.exited)
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, in := range w.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			<-in.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	_ = w.record.Sync()
}

// awaitReady waits until all instances answer 200 to the platform's readiness check.
func (w *world) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, in := range w.instances {
		for {
			resp, err := client.Get("http://" + in.ready + "/-/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				w.fatal("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

const settingsText = `nodeName: "%s"
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: "%s"
zone: "%s"
region: "norte"
zones:
  norte-a: "norte"
  norte-b: "norte"
  norte-c: "norte"
listen:
  front: "%s"
  ready: "%s"
  control: "%s:%d"
internalPorts:
  - %d
  - %d
seeds: []
firstStart: %t
countsAsLoss: false
limits:
  cpuShare: 0.4
  cpuCores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
faultTolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxStretchMs: 5000
  strictRevoke: false
  revokeMs: 5000
  budgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 202
  recoveryS: 12
  passMs: 120
  againS: 0
  stall_ms: 2500
  fencingRequired: true
provider:
  address: "%s"
  form: "log"
  writesPerS: 400
  readsPerS: 2000
  parts: 12
  appendMs: 2.0
  ingestPerS: 20.0
  egressPerS: 80.0
  recordBytes: 262144
  callBytes: 2097152
  keep_s: 300
  partMb: 200
  ttlMinMs: 1000
`

// replica is a stand-in of one replica of a plain service.
type replica struct {
	w                          *world
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	listener                   net.Listener
	sequence                   int
	gone                       chan struct{}
	link                       *link
}

func (w *world) startReplica(id, service, zone string, work time.Duration) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("%v", err)
	}
	r := &replica{w: w, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(),
		work: work, listener: l, gone: make(chan struct{})}
	r.link = newLink(l)
	server := &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(r.link) }()
	r.beat("ready")
	go func() {
		for {
			select {
			case <-r.gone:
				return
			case <-time.After(1200 * time.Millisecond):
				r.beat("ready")
			}
		}
	}()
	return r
}

func (r *replica) beat(state string) {
	r.w.mu.Lock()
	r.sequence++
	n := r.sequence
	r.w.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6,
		"state": state, "coldRemainingMs": 0, "sequence": n, "born": r.born})
	r.w.store.put("keyed.servers", r.id, data)
}

// remove ends the heartbeats and removes the entry; the replica goes on serving.
func (r *replica) remove() {
	close(r.gone)
	r.w.store.put("keyed.servers", r.id, nil)
}

// stop ends the process of the replica.
func (r *replica) stop() {
	_ = r.listener.Close()
	r.link.mu.Lock()
	var open []*linkConn
	for c := range r.link.conns {
		open = append(open, c)
	}
	r.link.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (r *replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Attempt-Id")
	if attempt != "" {
		rw.Header().Set("Attempt-Id", attempt)
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		rw.Header().Set("Replica-Id", r.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.w.ran(attempt, r, req)
	time.Sleep(r.work)
	rw.Header().Set("Response-Signature", r.id+"."+attempt)
	rw.Header().Set("Replica-Load", "1,0,6")
	_, _ = io.WriteString(rw, strings.Repeat("x", 800))
}

func (w *world) ran(attempt string, r *replica, req *http.Request) {
	w.mu.Lock()
	w.runs[attempt] = append(w.runs[attempt], r.id)
	w.mu.Unlock()
	w.logf("replica %s runs %s %s %s of tenant %s", r.id, attempt, req.Method, req.URL.Path, req.Header.Get("Tenant"))
}

func (w *world) runsOf(attempt string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.runs[attempt]...)
}

// answer is what a client saw: the status, or 0 and an error.
type answer struct {
	attempt string
	status  int
	err     error
	sent    time.Time
	took    time.Duration
}

// send sends one request of a client on a new connection.
func (w *world) send(in *instance, method, path, key string, deadline time.Duration) answer {
	a := answer{attempt: fmt.Sprintf("%s%06x", w.prefix, w.nextID.Add(1)), sent: time.Now()}
	c, err := net.DialTimeout("tcp", in.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	body := ""
	if method == "POST" {
		body = "Content-Length: 4\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n",
		method, path, a.attempt, deadline.Milliseconds(), key, body)
	if method == "POST" {
		text += "hire"
	}
	if _, a.err = io.WriteString(c, text); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		a.took = time.Since(a.sent)
		return a
	}
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.status, a.took = resp.StatusCode, time.Since(a.sent)
	return a
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	RouteKind       string `json:"routeKind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
}

func plainRoute(path, kind, service string, attempts int) route {
	return route{Name: "r-" + strings.Trim(path, "/"), Host: "ficu95.example", PathPrefix: path, RouteKind: kind, TimeoutMs: 800,
		TargetLatencyMs: 150, Priority: 2, Service: service, MaxAttempts: attempts}
}

// publish writes a version of the configuration as the operator does; its return is the acknowledgement.
func (w *world) publish(version int, routes []route, services []string, keys ...string) time.Time {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 52, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": keys, "priority": 1}}})
	w.store.put("keyed.op", "config", data)
	at := time.Now()
	w.logf("version %d acknowledged: %d routes, keys %s", version, len(routes), strings.Join(keys, " "))
	return at
}
