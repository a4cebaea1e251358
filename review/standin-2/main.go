// Command standin2 plays the cases of the second review: stand-ins of the store, replicas and clients
// around processes of the system. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Case is one case. It returns whether the rule was broken.
type Case func(ctx context.Context, b *Bench) (broken bool, err error)

var cases = map[string]Case{}

// Bench is what a case plays in.
type Bench struct {
	dir     string
	trouble bool
	record  *os.File
	store   *Store
	start   time.Time
	closers []func()
}

func (b *Bench) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(b.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(b.record, line)
}

func (b *Bench) onClose(f func()) { b.closers = append(b.closers, f) }

// limit is the time that a case has.
const limit = 110 * time.Second

// leastDescriptors is the number of descriptors that the largest case needs: the instance's and those of
// the stand-ins are limited apart.
const leastDescriptors = 10478

func main() {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Max < leastDescriptors {
		fmt.Fprintf(os.Stderr, "%d descriptors are needed\n", leastDescriptors)
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c Case, path string) int {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	b := &Bench{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, start: time.Now()}
	defer func() {
		for i := len(b.closers) - 1; i >= 0; i-- {
			b.closers[i]()
		}
		if keep := os.Getenv("KEEP"); keep != "" {
			os.CopyFS(keep, os.DirFS(dir))
		}
	}()
	if b.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b.onClose(b.store.close)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	broken, err := c(ctx, b)
	switch {
	case err != nil:
		b.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken:
		b.log("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		b.log("RESULT: the rule held")
		fmt.Println("the rule held")
		return 0
	}
}

// addReplica starts a replica that renews its entry.
func (b *Bench) addReplica(ctx context.Context, id, service string, slots int, model bool) (*Replica, error) {
	r, err := newReplica(id, service, slots, model)
	if err != nil {
		return nil, err
	}
	b.onClose(func() { r.server.Close() })
	go r.beat(ctx, b.store)
	return r, nil
}

// addInstance starts an instance and waits until it is ready.
func (b *Bench) addInstance(ctx context.Context, name, ip string, peers int, l Limits) (*Instance, error) {
	i, err := newInstance(b.dir, name, ip, b.store.address, peers, l, false)
	if err != nil {
		return nil, err
	}
	if err := i.start(); err != nil {
		return nil, err
	}
	b.onClose(i.kill)
	if !i.awaitReady(ctx) {
		return nil, fmt.Errorf("%s is not ready", name)
	}
	b.log("%s is ready", name)
	return i, nil
}
