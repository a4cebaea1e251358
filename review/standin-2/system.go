package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// Figures of a small deployment's sheet.
const (
	heartbeat = 1200 * time.Millisecond
	graceS    = 8
)

// Instance is one process of the system.
type Instance struct {
	name, settings, front, ready string
	cmd                          *exec.Cmd
	exited                       chan struct{}
	log                          *os.File
	limits                       Limits
}

// Limits are the limits of a machine.
type Limits struct{ memoryMB, descriptors int }

func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// newInstance writes the settings of an instance.
func newInstance(dir, name, ip, store string, peers int, l Limits, firstStart bool) (*Instance, error) {
	ports, err := freePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	i := &Instance{name: name, limits: l, settings: filepath.Join(dir, name+".yaml"),
		front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	text := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: "z"
region: "r"
zones: {z: "r"}
listen: {front: %q, ready: %q}
internalPorts: [%d, %d]
seeds: []
firstStart: %t
countsAsLoss: false
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: %d, maxFds: %d, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: %d
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: %d, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 202, recoveryS: 12, passMs: 120, againS: 0, stall_ms: 2500, fencingRequired: true}
provider: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 12, appendMs: 2.0, ingestPerS: 20.0, egressPerS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 20, partMb: 200, ttlMinMs: 1000}
`, name, ip, i.front, i.ready, peers, peers+15, firstStart, l.memoryMB, l.descriptors, heartbeat.Milliseconds(), graceS, store)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	i.log, err = os.Create(filepath.Join(dir, name+".log"))
	return i, err
}

// start starts the process as the deploy file says, without its metrics port.
func (i *Instance) start() error {
	i.cmd = exec.Command("target/masticbank", "platform", "--settings", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	if err := limitDescriptors(i.cmd.Process.Pid, i.limits.descriptors); err != nil {
		i.cmd.Process.Kill()
		i.cmd.Wait()
		return err
	}
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		close(exited)
	}(i.cmd, i.exited)
	return nil
}

// limitDescriptors sets the number of descriptors that a process may have.
func limitDescriptors(pid, n int) error {
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

func (i *Instance) alive() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

func (i *Instance) signal(s syscall.Signal) { i.cmd.Process.Signal(s) }

func (i *Instance) kill() {
	if i.cmd != nil && i.exited != nil {
		i.cmd.Process.Signal(syscall.SIGCONT)
		i.cmd.Process.Kill()
		<-i.exited
	}
}

// isReady asks as the platform does.
func (i *Instance) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + i.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *Instance) awaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		if i.isReady() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// status returns a figure in kB of the process's status.
func (i *Instance) status(name string) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if rest, ok := strings.CutPrefix(sc.Text(), name+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

const host = "h.example"

// configuration returns an operator's configuration.
func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"chat","host":%q,"pathPrefix":"/chat/","routeKind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"gapAimMs":200,"priority":0,"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"service":"llm"},
{"name":"order","host":%q,"pathPrefix":"/order/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"maxAttempts":1,"public":false,"sticky":false,"resumable":false,"service":"plain"},
{"name":"look","host":%q,"pathPrefix":"/look/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"maxAttempts":2,"public":false,"sticky":false,"resumable":false,"service":"plain"}],
"services":[{"name":"plain","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"llm","healthPath":"/health","maxConns":1068,"protocol":"h1","tls":false,"engine":{"slots":192,"kvCapacity":100000,"kvTokenBytes":590000,"linkMbps":480000,"stride":2,
"models":[{"name":"m","pace":1,"loadS":14,"warmS":1}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000,"pairs_per_m":0.166,"chunk":512,"report_lag_ms":200,"loads_at_once":6,
"delays":[],"usual":{"prompt":20,"answer":20},"layers":4,"layerMb":1750,"actBytes":29500,"pipeMbps":11000,"kinds":[{"name":"k","mb":72000,"pace":1,"readX":1}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"w1","apiKeys":["key1"],"priority":1}]}`, version, host, host, host)
}
