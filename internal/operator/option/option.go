// Package option is the command line: every command and flag with its default,
// its check and its help text. The flags of the stand-ins stand beside their
// code, in package process.
//
// # Usage
//
//	opts, err := option.Parse(os.Args[1:])
//	var help *option.Help
//	if errors.As(err, &help) { fmt.Print(help.Text) }
//
// Any other error is the user's mistake, exit code 2.
package option

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/standin/process"
)

// Exit codes of every command.
const (
	ExitDone   = 0
	ExitFailed = 1 // refused, failed or unknown
	ExitUsage  = 2
)

// Options is the command that was given and the flags of all commands.
type Options struct {
	Command string `no-flag:"true"` // such as "publish" or "standin worker"

	Entry   Entry                `command:"entry" description:"Run an entry" long-description:"Runs an entry on this VM until it is told to stop by SIGTERM or SIGINT, upon which it leaves gracefully."`
	Serve   Serve                `command:"serve" description:"Run an entry on the users' platform" long-description:"Runs an entry by the settings file that the platform names, until it is told to stop by SIGTERM or SIGINT, upon which it leaves gracefully. SIGHUP makes it read the settings again."`
	Check   Check                `command:"check" description:"Check tables and settings" long-description:"Reads files and prints each fault with file, line, column and field. Tables in the same directory are checked together."`
	Publish Publish              `command:"publish" description:"Publish tables" long-description:"Puts tables into force. Only rows that differ from the version in force are published. Says accepted with the version, rejected and why, or unknown and how to find out."`
	Show    Show                 `command:"show" description:"Print the configuration in force" long-description:"Reads the config stream and prints the tables and marks in force as JSON."`
	Out     Mark                 `command:"out" description:"Take a failure domain or VM out of service"`
	Back    Mark                 `command:"back" description:"Put a failure domain or VM back into service"`
	Submit  Submit               `command:"submit" description:"Submit tasks" long-description:"Submits one task by flags or many from a file. Submitting again with the same caller and key never makes a second task."`
	Status  Status               `command:"status" description:"Print the state of tasks" long-description:"Prints the tasks of the given ids, or lists tasks, one JSON object a line."`
	Cancel  Cancel               `command:"cancel" description:"Cancel tasks"`
	Dump    Dump                 `command:"dump" description:"Print the state of an entry as JSON"`
	Demo    Demo                 `command:"demo" description:"Show the whole system in one process" long-description:"Runs six entries in three failure domains with stand-ins for the platform, sends work, takes a failure domain out and back, and prints what callers and workers saw as one JSON object on the last line."`
	Standin process.StandinFlags `command:"standin" description:"Run a stand-in of the platform, to try things out"`
	Version Version              `command:"version" description:"Print the version"`
}

// Entry runs an entry.
type Entry struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"Settings file of the entry"`
}

// Serve runs an entry on the users' platform.
type Serve struct{}

// Check checks files.
type Check struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Source is where the config stream is.
type Source struct {
	Log       string       `long:"log" value-name:"URL" env:"ORIOLEPIER_LOG" description:"Base URL of the platform's log, with an IP address"`
	Settings  string       `long:"settings" value-name:"FILE" description:"Settings file of an entry to take the URL of the log from; goes before --log"`
	TimeoutMS clock.Millis `long:"timeout-ms" value-name:"MS" default:"15000" description:"How long to try before the outcome is called unknown"`
}

// Publish publishes tables.
type Publish struct {
	Source
	Base    int64  `long:"base" value-name:"VERSION" default:"-1" default-mask:"the version in force" description:"Version that the edited tables come from"`
	Replace bool   `long:"replace" description:"Replace both tables whole; loses to any other change since the base"`
	Reset   bool   `long:"reset" description:"Start anew when the log has lost everything; all failure domains are out of service afterwards"`
	DryRun  bool   `long:"dry-run" description:"Say what would be published, and append nothing"`
	Find    string `long:"find" value-name:"WRITER/SEQUENCE" description:"Publish nothing; find out what became of an earlier change"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Show prints the configuration in force.
type Show struct {
	Source
	Only string `long:"only" choice:"routes" choice:"pools" choice:"marks" description:"Print one part"`
}

// Mark takes something out or back.
type Mark struct {
	Source
	FailureDomain string `long:"failure-domain" value-name:"NAME" description:"Failure domain to mark"`
	VM            string `long:"vm" value-name:"NAME" description:"VM to mark"`
	Base          int64  `long:"base" value-name:"VERSION" default:"-1" default-mask:"the version in force" description:"Version that the operator looked at"`
}

// Server is the entry to talk to.
type Server struct {
	Entry     string       `long:"entry" value-name:"URL" env:"ORIOLEPIER_ENTRY" required:"true" description:"Base URL of an entry or of the balancer, with an IP address"`
	CA        string       `long:"ca" value-name:"FILE" description:"Certificates to trust for an https URL, in PEM"`
	TimeoutMS clock.Millis `long:"timeout-ms" value-name:"MS" default:"15000" description:"How long to wait for each answer"`
}

// Submit submits tasks.
type Submit struct {
	Server
	File         string       `long:"file" value-name:"FILE" description:"File with many tasks: JSON with comments, an object with the member tasks"`
	Caller       string       `long:"caller" value-name:"NAME" description:"Who asks"`
	Key          string       `long:"key" value-name:"KEY" description:"Name of the task among the caller's; made up and printed if not given"`
	Route        string       `long:"route" value-name:"NAME" description:"Route in the table; its class says whether the task is urgent"`
	Kind         string       `long:"kind" value-name:"NAME" description:"What the task runs"`
	Payload      string       `long:"payload" value-name:"TEXT" description:"Input of the task"`
	MilliCores   int64        `long:"milli-cores" value-name:"N" default:"1000" description:"Thousandths of a core that it needs"`
	MemoryMB     int64        `long:"memory-mb" value-name:"MB" default:"512" description:"Memory that it needs"`
	Accelerators int64        `long:"accelerators" value-name:"N" default:"0" description:"Accelerators that it needs"`
	RunMS        clock.Millis `long:"run-ms" value-name:"MS" default:"0" default-mask:"not known" description:"Expected run time"`
}

// Status prints tasks.
type Status struct {
	Server
	Caller string `long:"caller" value-name:"NAME" description:"List the tasks of a caller"`
	Phase  string `long:"phase" choice:"queued" choice:"running" choice:"evicting" choice:"handed" choice:"finished" choice:"cancelled" choice:"parked" description:"List the tasks in a phase"`
	Limit  int    `long:"limit" value-name:"N" default:"100" description:"List at most so many, up to 1000"`
	Args   struct {
		IDs []string `positional-arg-name:"ID"`
	} `positional-args:"true"`
}

// Cancel cancels tasks.
type Cancel struct {
	Server
	Args struct {
		IDs []string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"true"`
}

// Dump prints the state of an entry.
type Dump struct {
	Server
	Token     string `long:"token" value-name:"TOKEN" env:"ORIOLEPIER_TOKEN" description:"Shared token of the operator listener"`
	TokenFile string `long:"token-file" value-name:"FILE" description:"File with the token"`
}

// Demo runs the whole system in one process.
type Demo struct {
	Seed uint64 `long:"seed" value-name:"N" default:"1" description:"Seed of the work that is sent"`
}

// Version prints the version.
type Version struct{}

// Help is the error for a request for help. Text is for standard output.
type Help struct{ Text string }

// Error implements error.
func (help *Help) Error() string { return help.Text }

// Parse reads the arguments after the program's name. The error is a *Help, or
// a mistake in usage.
func Parse(args []string) (Options, error) {
	var opts Options
	parser := flags.NewNamedParser("oriolepier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Oriolepier schedules latency-critical and batch work on shared VMs."
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return opts, errors.Wrap(err, "declare options")
	}
	rest, err := parser.ParseArgs(args)
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		return opts, &Help{Text: problem.Message + "\n"}
	}
	if err != nil {
		return opts, err
	}
	if len(rest) > 0 {
		return opts, errors.Errorf("unexpected argument %q", rest[0])
	}
	opts.Command = commandName(parser.Command)
	return opts, opts.validate()
}

func commandName(command *flags.Command) string {
	var words []string
	for active := command.Active; active != nil; active = active.Active {
		words = append(words, active.Name)
	}
	return strings.Join(words, " ")
}

// Checks what the declarations above can't express.
func (opts Options) validate() error {
	switch opts.Command {
	case "publish":
		return opts.Publish.validate()
	case "show":
		return opts.Show.validate()
	case "out":
		return opts.Out.validate()
	case "back":
		return opts.Back.validate()
	case "submit":
		return opts.Submit.validate()
	case "status":
		return opts.Status.validate()
	case "cancel":
		return opts.Cancel.validate()
	case "dump":
		return opts.Dump.validate()
	}
	return nil
}

func (source Source) validate() error {
	if source.Log == "" && source.Settings == "" {
		return errors.New("give --log or --settings")
	}
	if source.TimeoutMS < 1 {
		return errors.New("--timeout-ms must be at least 1")
	}
	if source.Log == "" {
		return nil
	}
	return validURL("--log", source.Log)
}

func (opts Publish) validate() error {
	if (len(opts.Args.Files) == 0) == (opts.Find == "") {
		return errors.New("give either files to publish or --find")
	}
	if opts.Reset && (opts.DryRun || opts.Replace || opts.Base >= 0) {
		return errors.New("--reset goes without --base, --replace and --dry-run")
	}
	if opts.Find != "" {
		if _, _, err := opts.FindName(); err != nil {
			return err
		}
	}
	return opts.Source.validate()
}

// FindName returns the writer and sequence given by --find.
func (opts Publish) FindName() (string, uint64, error) {
	writer, text, _ := strings.Cut(opts.Find, "/")
	sequence, err := strconv.ParseUint(text, 10, 64)
	if err != nil || writer == "" {
		return "", 0, errors.Errorf("--find %q is not WRITER/SEQUENCE", opts.Find)
	}
	return writer, sequence, nil
}

func (opts Mark) validate() error {
	if (opts.FailureDomain == "") == (opts.VM == "") {
		return errors.New("give one of --failure-domain and --vm")
	}
	return opts.Source.validate()
}

func (server Server) validate() error {
	if server.TimeoutMS < 1 {
		return errors.New("--timeout-ms must be at least 1")
	}
	return validURL("--entry", server.Entry)
}

func (opts Submit) validate() error {
	if opts.File != "" && (opts.Caller != "" || opts.Key != "" || opts.Route != "") {
		return errors.New("--file goes without --caller, --key and --route")
	}
	if opts.File == "" && (opts.Caller == "" || opts.Route == "") {
		return errors.New("give --caller and --route, or --file")
	}
	if opts.MilliCores < 0 || opts.MemoryMB < 0 || opts.Accelerators < 0 || opts.RunMS < 0 {
		return errors.New("sizes and --run-ms can't be negative")
	}
	return opts.Server.validate()
}

func (opts Status) validate() error {
	if len(opts.Args.IDs) > 0 && (opts.Caller != "" || opts.Phase != "") {
		return errors.New("give ids, or --caller and --phase")
	}
	if opts.Limit < 1 || opts.Limit > 1000 {
		return errors.New("--limit must be between 1 and 1000")
	}
	return opts.Server.validate()
}

func (opts Dump) validate() error {
	if opts.TokenFile != "" && opts.Token != "" {
		return errors.New("give one of --token and --token-file")
	}
	return opts.Server.validate()
}

func validURL(flag, text string) error {
	link, err := url.Parse(text)
	if err != nil || (link.Scheme != "http" && link.Scheme != "https") {
		return errors.Errorf("%s %q is not a URL such as http://10.0.0.1:7000", flag, text)
	}
	if _, err := netip.ParseAddr(link.Hostname()); err != nil {
		return errors.Errorf("%s %q: the host is not an IP address", flag, text)
	}
	return nil
}
