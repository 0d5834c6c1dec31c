// Package option declares and parses the command line: every command and flag
// with its default, its validation and its help text.
//
// # Usage
//
//	opts, err := option.Parse(os.Args[1:])
//	var help *option.Help
//	if errors.As(err, &help) { fmt.Print(help.Text) }
//
// Any other error reports invalid usage, exit code ExitUsage.
package option

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Exit codes of every command.
const (
	ExitDone   = 0
	ExitFailed = 1 // refused, failed, or the outcome is unknown
	ExitUsage  = 2 // invalid command line
)

// Options are the command given and the flags of all commands.
type Options struct {
	Command string `no-flag:"true"` // such as "publish" or "standin worker"

	Serve   Serve      `command:"serve" description:"Run an entry on the users' platform" long-description:"Runs an entry by the settings file that the platform names, until it is told to stop by SIGTERM or SIGINT, upon which it leaves gracefully. SIGHUP makes it read the settings again."`
	Entry   Entry      `command:"entry" description:"Run an entry by its own settings" long-description:"Runs an entry of a deployment that has tables of its own, until it is told to stop by SIGTERM or SIGINT, upon which it leaves gracefully."`
	Check   Check      `command:"check" description:"Check tables and settings" long-description:"Reads files and prints each fault with file, line, column and field. Tables in the same directory are checked together. A file that ends in .yaml is checked as settings of the platform."`
	Publish Publish    `command:"publish" description:"Publish tables" long-description:"Puts both tables into force and prints the version. Fails without a change when another operator was faster."`
	Show    Show       `command:"show" description:"Print the tables and marks in force"`
	Out     MarkDomain `command:"out" description:"Take a failure domain out of service"`
	Back    MarkDomain `command:"back" description:"Put a failure domain back into service"`
	Submit  Submit     `command:"submit" description:"Submit a job" long-description:"Submits a job of equal tasks. Submitting again with the same id never makes a second job."`
	Status  Job        `command:"status" description:"Print the state of a job"`
	Cancel  Job        `command:"cancel" description:"Cancel a job"`
	Dump    Dump       `command:"dump" description:"Print the state of an entry as JSON"`
	Where   Where      `command:"where" description:"Print where a job would be placed now, and why" long-description:"Asks the owner where the next task of each step of a job would start now, and what keeps it waiting if nowhere. ARG is the id of a job, or with --path a file with a submission, which is not sent; - is standard input. Nothing is changed."`
	Explain Explain    `command:"explain" description:"Print a job's life from log lines" long-description:"Reads log lines of all entries, from files or standard input, and prints in order what was decided about one job, by whom, and on what."`
	Demo    Demo       `command:"demo" description:"Show the whole system in one process" long-description:"Runs entries in three failure domains with stand-ins for the platform, sends jobs and requests, takes a failure domain out and back, stops an entry, and prints what callers and workers saw as one JSON object on the last line."`
	Soak    Soak       `command:"soak" description:"Run real processes under faults" long-description:"Runs entries and stand-ins of the platform as separate processes, injects faults from outside, and checks what workers executed and callers were answered. Prints one JSON object for each seed; the exit code is 1 if a promise was broken."`
	Standin Standin    `command:"standin" description:"Run a stand-in of the platform, to try things out"`
	Version Version    `command:"version" description:"Print the version"`
}

// Serve has no flags: the platform names the settings file of an entry.
type Serve struct{}

// Entry are the flags of the command entry.
type Entry struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"Settings file of the entry"`
}

// Check are the arguments of the command check.
type Check struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Store are the flags of commands that call the platform's store.
type Store struct {
	Address   string       `long:"store" value-name:"IP:PORT" env:"ORIOLEPIER_STORE" required:"true" description:"Address of the platform's store"`
	TimeoutMS clock.Millis `long:"timeout-ms" value-name:"MS" default:"5000" description:"How long to try before the outcome is called unknown"`
}

// Publish are the arguments of the command publish.
type Publish struct {
	Store
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Show are the flags of the command show.
type Show struct{ Store }

// MarkDomain are the flags of the commands out and back.
type MarkDomain struct {
	Store
	FailureDomain string `long:"failure-domain" value-name:"NAME" required:"true" description:"Failure domain to mark"`
}

// EntryTarget are the flags of commands that call an entry.
type EntryTarget struct {
	Entry     string       `long:"entry" value-name:"URL" env:"ORIOLEPIER_ENTRY" required:"true" description:"Base URL of an entry or of the balancer, with an IP address"`
	TimeoutMS clock.Millis `long:"timeout-ms" value-name:"MS" default:"5000" description:"How long to wait for the answer"`
}

// Submit are the flags of the command submit.
type Submit struct {
	EntryTarget
	Prefix     string       `long:"prefix" value-name:"PATH" required:"true" description:"Path prefix of the route, such as /formulations"`
	ID         string       `long:"id" value-name:"HEX" description:"Id of the job, 16 hexadecimal digits; made up and printed if not given"`
	Tasks      int          `long:"tasks" value-name:"N" default:"1" description:"Tasks of the job"`
	Text       string       `long:"text" value-name:"TEXT" description:"What the tasks are told"`
	MilliCores int64        `long:"milli-cores" value-name:"N" default:"1000" description:"Thousandths of a core that a task needs"`
	MemoryMB   int64        `long:"memory-mb" value-name:"MB" default:"512" description:"Memory that a task needs"`
	RunMS      clock.Millis `long:"run-ms" value-name:"MS" default:"1000" description:"Expected run time of a task"`
}

// Job are the arguments of the commands status and cancel.
type Job struct {
	EntryTarget
	Prefix string `long:"prefix" value-name:"PATH" required:"true" description:"Path prefix of the route"`
	Args   struct {
		ID string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Dump are the flags of the command dump.
type Dump struct{ EntryTarget }

// Where are the arguments of the command where.
type Where struct {
	EntryTarget
	Host     string `long:"host" value-name:"HOST" description:"Host of the submission's route"`
	Path     string `long:"path" value-name:"PATH" description:"Path of the submission's route, such as /formulations/"`
	Customer string `long:"customer" value-name:"NAME" description:"Customer that the submission would be of"`
	JSON     bool   `long:"json" description:"Print JSON"`
	Args     struct {
		Arg string `positional-arg-name:"ARG" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Explain are the arguments of the command explain.
type Explain struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"1"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

// Demo are the flags of the command demo.
type Demo struct {
	Seed uint64 `long:"seed" value-name:"N" default:"1" description:"Seed of the work that is sent"`
}

// Soak are the flags of the command soak.
type Soak struct {
	Seed    uint64        `long:"seed" value-name:"N" default:"1" description:"First seed"`
	Seeds   int           `long:"seeds" value-name:"M" default:"1" description:"Number of seeds, one after the other"`
	For     time.Duration `long:"for" value-name:"D" default:"40s" description:"How long faults are injected for each seed"`
	Entries int           `long:"entries" value-name:"E" default:"5" description:"Number of entries"`
	Workers int           `long:"workers" value-name:"W" default:"24" description:"Number of workers"`
	Links   string        `long:"links" value-name:"MODE" default:"seed" choice:"seed" choice:"on" choice:"off" description:"Whether the owner calls workers by way of other entries; seed: by the seed"`
	Aim     string        `long:"aim" value-name:"KIND" default:"seed" choice:"seed" choice:"partition" choice:"delay" choice:"sleep" choice:"oneway" description:"What changes of the owner are aimed at, see docs/SOAK.md; seed: by the seed, with the other faults"`
	Keep    string        `long:"keep" value-name:"DIR" description:"Directory for what is kept of broken seeds; a new temporary one if not given"`
}

// Standin are the subcommands of the command standin.
type Standin struct {
	Store  StandinStore  `command:"store" description:"Run the stand-in of the platform's store"`
	Worker StandinWorker `command:"worker" description:"Run the stand-in of a worker"`
	// Workers runs the workers of a soak.
	Workers StandinWorkers `command:"workers" hidden:"true" description:"Run stand-ins of several workers"`
}

// StandinStore are the flags of the command standin store.
type StandinStore struct {
	Listen   string       `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Where to answer"`
	ExpireMS clock.Millis `long:"expire-ms" value-name:"MS" default:"0" description:"Remove a worker's entry that has not been renewed for this long; 0: never"`
}

// StandinWorkers are the flags of the command standin workers.
type StandinWorkers struct {
	File string `long:"file" value-name:"FILE" required:"true" description:"JSON file that lists the workers"`
}

// StandinWorker are the flags of the command standin worker.
type StandinWorker struct {
	Store         string `long:"store" value-name:"IP:PORT" required:"true" description:"Address of the store"`
	Listen        string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Where to answer"`
	Name          string `long:"name" value-name:"NAME" required:"true" description:"Name of the worker"`
	Pool          string `long:"pool" value-name:"NAME" required:"true" description:"Pool that it belongs to"`
	FailureDomain string `long:"failure-domain" value-name:"NAME" required:"true" description:"Failure domain that it is in"`
	MilliCores    int64  `long:"milli-cores" value-name:"N" default:"8000" description:"Its processors"`
	MemoryMB      int64  `long:"memory-mb" value-name:"MB" default:"16000" description:"Its memory"`
}

// Version has no flags.
type Version struct{}

// Help is returned as the error for a request for help. Text goes to standard
// output.
type Help struct{ Text string }

// Error implements error.
func (help *Help) Error() string { return help.Text }

// Parse parses the arguments after the program's name. An error is a *Help or
// reports invalid usage.
func Parse(args []string) (Options, error) {
	var opts Options
	parser := flags.NewNamedParser("oriolepier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Oriolepier schedules latency-critical and batch work on shared VMs."
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return opts, errors.Wrap(err, "declare options")
	}
	unparsed, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		return opts, &Help{Text: flagsError.Message + "\n"}
	}
	if err != nil {
		return opts, err
	}
	if len(unparsed) > 0 {
		return opts, errors.Errorf("unexpected argument %q", unparsed[0])
	}
	opts.Command = commandName(parser.Command)
	return opts, opts.validate()
}

// commandName returns the words of the active command and its subcommands.
func commandName(command *flags.Command) string {
	var words []string
	for active := command.Active; active != nil; active = active.Active {
		words = append(words, active.Name)
	}
	return strings.Join(words, " ")
}

// validate checks what the struct tags cannot express.
func (opts Options) validate() error {
	switch opts.Command {
	case "publish":
		return opts.Publish.Store.validate()
	case "show":
		return opts.Show.Store.validate()
	case "out":
		return opts.Out.Store.validate()
	case "back":
		return opts.Back.Store.validate()
	case "submit":
		return opts.Submit.validate()
	case "status":
		return opts.Status.EntryTarget.validate()
	case "cancel":
		return opts.Cancel.EntryTarget.validate()
	case "soak":
		return opts.Soak.validate()
	case "dump":
		return opts.Dump.EntryTarget.validate()
	case "where":
		return opts.Where.validate()
	}
	return nil
}

func (store Store) validate() error {
	if store.TimeoutMS < 1 {
		return errors.New("--timeout-ms must be at least 1")
	}
	if _, err := netip.ParseAddrPort(store.Address); err != nil {
		return errors.Errorf("--store is %q, expected IP:PORT such as 10.0.0.1:7000", store.Address)
	}
	return nil
}

func (server EntryTarget) validate() error {
	if server.TimeoutMS < 1 {
		return errors.New("--timeout-ms must be at least 1")
	}
	entryURL, err := url.Parse(server.Entry)
	if err != nil || (entryURL.Scheme != "http" && entryURL.Scheme != "https") {
		return errors.Errorf("--entry is %q, expected a URL such as http://10.0.0.1:7000", server.Entry)
	}
	if _, err := netip.ParseAddr(entryURL.Hostname()); err != nil {
		return errors.Errorf("--entry is %q, expected an IP address as the host", server.Entry)
	}
	return nil
}

func (opts Where) validate() error {
	if opts.Path == "" && (opts.Host != "" || opts.Customer != "") {
		return errors.New("--host and --customer are of a submission, which needs --path")
	}
	return opts.EntryTarget.validate()
}

func (opts Soak) validate() error {
	if opts.Seeds < 1 || opts.Entries < 2 || opts.Workers < 1 || opts.For <= 0 {
		return errors.New("--seeds and --workers must be at least 1, --entries at least 2, and --for above 0")
	}
	return nil
}

func (opts Submit) validate() error {
	if opts.Tasks < 1 || opts.MilliCores < 0 || opts.MemoryMB < 0 || opts.RunMS < 0 {
		return errors.New("--tasks must be at least 1; --milli-cores, --memory-mb and --run-ms must not be negative")
	}
	return opts.EntryTarget.validate()
}
