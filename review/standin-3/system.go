package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports on the address of each machine.
const (
	frontPort, readyPort, metricsPort = 8227, 8220, 9464
	firstPeerPort, lastPeerPort       = 7340, 7355
)

// subnet returns the first three numbers of loopback addresses whose ports are free.
func subnet(machines int) (string, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if free(base, machines) {
			return base, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func free(base string, machines int) bool {
	for i := range machines {
		for _, port := range []int{frontPort, readyPort, metricsPort, firstPeerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", base, 10+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// deployment holds settings of the machines of a site.
type deployment struct{ contracts, bounds string }

var (
	small = deployment{"", `seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 200, recoveryS: 12, passMs: 120, againS: 0, stall_ms: 2500, fencingRequired: true`}
	grown = deployment{`, "health", "pool"`, `seedLagS: 3, reuseAfterS: 2, contactMs: 4000, ackMs: 6000, catchUpS: 6, drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 3000, rollbackSlackMs: 250, maxStretchMs: 6000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 302, recoveryS: 15, passMs: 200, againS: 0, stall_ms: 2500, fencingRequired: true`}
)

// machine is a machine with one process of the system. As the platform does, it starts a process that
// has ended again after a short delay, and kills one that exceeds the memory of the machine.
type machine struct {
	name, ip, settings string
	memoryMB, peerPort int
	kind               deployment
	program            string
	output             *os.File
	log                func(string, ...any)

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	first    bool
	// overMemory counts the processes that were killed as they exceeded the memory, ended those that
	// ended by themselves.
	overMemory, ended int
	peakMB            float64
	done              chan struct{}
}

const (
	restartDelay = 500 * time.Millisecond
	memoryPeriod = 20 * time.Millisecond
	bytesPerMB   = 1 << 20
)

func (m *machine) front() string { return net.JoinHostPort(m.ip, strconv.Itoa(frontPort)) }
func (m *machine) ready() string { return net.JoinHostPort(m.ip, strconv.Itoa(readyPort)) }

func (m *machine) settingsFile(storeAddress string) string {
	return fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: "quito"
region: "ec-andes"
zones: {quito: "ec-andes"}
listen: {front: %q, ready: %q}
internalPorts: [%d, %d]
seeds: []
firstStart: %t
countsAsLoss: false
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"%s]
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {%s}
provider: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 12, appendMs: 2.0, ingestPerS: 20.0, egressPerS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
`, m.name, m.ip, m.front(), m.ready(), m.peerPort, lastPeerPort, m.first, m.memoryMB, m.kind.contracts, m.kind.bounds, storeAddress)
}

// run keeps a process running until stop.
func (m *machine) run(storeAddress string) error {
	m.first, m.done = true, make(chan struct{})
	if err := m.startProcess(storeAddress); err != nil {
		return err
	}
	go func() {
		defer close(m.done)
		for {
			over := m.watch()
			m.mu.Lock()
			if m.stopping {
				m.mu.Unlock()
				return
			}
			if over {
				m.overMemory++
			} else {
				m.ended++
			}
			m.mu.Unlock()
			time.Sleep(restartDelay)
			m.mu.Lock()
			stopping := m.stopping
			m.mu.Unlock()
			if stopping {
				return
			}
			m.first = false
			if err := m.startProcess(storeAddress); err != nil {
				m.log("%s: %v", m.name, err)
				return
			}
		}
	}()
	return nil
}

func (m *machine) startProcess(storeAddress string) error {
	if err := os.WriteFile(m.settings, []byte(m.settingsFile(storeAddress)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(m.program, "platform", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MASTICBANK_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.output, m.output
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	processes.Lock()
	defer processes.Unlock()
	if processes.ended {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	processes.list[cmd.Process] = true
	m.cmd = cmd
	m.log("%s: process started", m.name)
	return nil
}

// watch returns when the process has ended, and whether it was killed for its memory.
func (m *machine) watch() (over bool) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t := time.NewTicker(memoryPeriod)
	defer t.Stop()
	for {
		select {
		case err := <-exited:
			processes.Lock()
			delete(processes.list, cmd.Process)
			processes.Unlock()
			m.log("%s: process ended: %v", m.name, err)
			return over
		case <-t.C:
			mb := residentMB(cmd.Process.Pid)
			m.mu.Lock()
			m.peakMB = max(m.peakMB, mb)
			m.mu.Unlock()
			if mb > float64(m.memoryMB) && !over {
				over = true
				m.log("%s: process has %.0f MB of %d MB and is killed", m.name, mb, m.memoryMB)
				_ = cmd.Process.Kill()
			}
		}
	}
}

var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// residentMB returns the resident memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	match := residentLine.FindSubmatch(status)
	if match == nil {
		return 0
	}
	kib, _ := strconv.Atoi(string(match[1]))
	return float64(kib) * 1024 / bytesPerMB
}

// signal sends a signal to the process.
func (m *machine) signal(what syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(what)
	}
}

// stop ends the process.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopping = true
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
	}
	m.mu.Unlock()
	<-m.done
}

func (m *machine) counts() (overMemory, ended int, peakMB float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overMemory, m.ended, m.peakMB
}

// neededDescriptors is the maxFds of a machine; this program needs as many at most.
const neededDescriptors = 4100

// system is a store, machines and replicas.
type system struct {
	base     string
	store    *store
	proxy    *proxy
	mesh     []*proxy
	machines []*machine
	replicas []*replica
	folder   string
	record   *os.File
	recordMu sync.Mutex
	// short is set if a crowd did not get its connections.
	short bool
	start time.Time
}

// log writes a line to the record.
func (s *system) log(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// firstWork is how long a request takes at the first replica, moreWork by how much more at each further one.
const firstWork, moreWork = 15 * time.Millisecond, 5 * time.Millisecond

// Names in the configuration.
const (
	host, key, tenant         = "socios.example", "k7dmp2x9q4", "hule930"
	droppedKey, droppedTenant = "n2ctnfzs98", "daka510"
	service                   = "socios"
)

// configuration returns a version of the configuration with the service of the route /look/, and with
// the second tenant or without it.
func configuration(version int, lookService string, bothTenants bool) []byte {
	second := ""
	if bothTenants {
		second = `,{"name":"` + droppedTenant + `","apiKeys":["` + droppedKey + `"]}`
	}
	return []byte(strings.NewReplacer("VERSION", strconv.Itoa(version), "HOST", host, "KEY", key, "TENANT", tenant, "OTHER", otherService, "LOOK", lookService, "SERVICE", service, "SECOND", second).Replace(`{"version":VERSION,
"routes":[{"name":"r-order","host":"HOST","pathPrefix":"/order/","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"SERVICE","maxAttempts":1,"public":false,"sticky":false},
{"name":"r-look","host":"HOST","pathPrefix":"/look/","routeKind":"idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"LOOK","maxAttempts":2,"public":false,"sticky":false}],
"services":[{"name":"SERVICE","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},{"name":"OTHER","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"TENANT","apiKeys":["KEY"]}SECOND]}`))
}

// startSystem starts a system and waits until its machines are ready.
func startSystem(program, record string, machines, replicas, memoryMB int) (*system, error) {
	return start(program, record, machines, replicas, memoryMB, false, small)
}

// startSystemWithMesh does the same with a proxy between each two machines. For that each machine has a
// port for its peers of its own: they connect to the number of their own port at its address.
func startSystemWithMesh(program, record string, machines, replicas, memoryMB int) (*system, error) {
	return start(program, record, machines, replicas, memoryMB, true, small)
}

func start(program, record string, machines, replicas, memoryMB int, mesh bool, kind deployment) (*system, error) {
	base, err := subnet(machines)
	if err != nil {
		return nil, err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < neededDescriptors {
		return nil, fmt.Errorf("fewer than %d descriptors are allowed", neededDescriptors)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	processes.Lock()
	processes.folder = folder
	processes.Unlock()
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &system{base: base, folder: folder, record: out, start: time.Now()}
	if s.store, err = startStore(base + "1:0"); err != nil {
		return s, err
	}
	if s.proxy, err = startProxy(base+"2:0", s.store.address); err != nil {
		return s, err
	}
	s.publish(3, service, true)
	for i := range replicas {
		if err := s.addReplica(fmt.Sprintf("i-%08x", 0x5682ef00+i), service, 100+i); err != nil {
			return s, err
		}
	}
	for i := range machines {
		m := &machine{
			name: fmt.Sprintf("edge-quito-%d", i+1), ip: fmt.Sprintf("%s%d", base, 10+i), memoryMB: memoryMB, peerPort: firstPeerPort, kind: kind, program: program, log: s.log,
		}
		if mesh {
			m.peerPort += i
			if err := s.proxyPeers(m, machines, i); err != nil {
				return s, err
			}
		}
		m.settings = filepath.Join(folder, m.name+".yaml")
		if m.output, err = os.Create(filepath.Join(folder, m.name+".log")); err != nil {
			return s, err
		}
		if err := m.run(s.proxy.address); err != nil {
			return s, err
		}
		s.machines = append(s.machines, m)
	}
	for _, m := range s.machines {
		if err := awaitReady(m); err != nil {
			return s, err
		}
		s.log("%s: ready", m.name)
	}
	return s, nil
}

// proxyPeers starts the proxies through which the other machines connect to one.
func (s *system) proxyPeers(m *machine, machines, index int) error {
	for other := range machines {
		if other == index {
			continue
		}
		p, err := startProxy(net.JoinHostPort(m.ip, strconv.Itoa(firstPeerPort+other)), net.JoinHostPort(m.ip, strconv.Itoa(m.peerPort)))
		if err != nil {
			return err
		}
		s.mesh = append(s.mesh, p)
	}
	return nil
}

// publish writes a version of the configuration, and returns when the store has accepted it.
func (s *system) publish(version int, lookService string, bothTenants bool) time.Time {
	s.store.put("keyed.op", "config", configuration(version, lookService, bothTenants))
	s.log("the store has accepted version %d of the configuration", version)
	return time.Now()
}

// addReplica starts a replica at the address of the subnet with the given last number.
func (s *system) addReplica(id, service string, number int) error {
	r := &replica{
		id: id, service: service, address: fmt.Sprintf("%s%d:0", s.base, number), store: s.store,
		work: firstWork + time.Duration(len(s.replicas))*moreWork, log: s.log,
	}
	s.replicas = append(s.replicas, r)
	return r.up()
}

// stop ends all processes. KEEP keeps their logs.
func (s *system) stop() {
	for _, m := range s.machines {
		m.stop()
		_ = m.output.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.folder)
	}
	_ = s.record.Close()
}
