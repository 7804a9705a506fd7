package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"sycamoreledge.example/internal/client"
)

const description = "Global traffic steering across regions and availability zones: the daemon of an instance and the operators' command-line client."

// commandLine declares the commands and global flags for kong.
type commandLine struct {
	Output string `help:"Output format: ${enum}." enum:"table,json" default:"table" short:"o"`

	Entry     entryCommand     `cmd:"" help:"Run the daemon of an entry instance."`
	Serve     serveCommand     `cmd:"" help:"Run the daemon of an instance whose state is kept by the platform."`
	Preset    presetCommands   `cmd:"" help:"List, show, store and activate presets."`
	Status    statusCommand    `cmd:"" help:"Show instances, pools and the configuration in force."`
	Drain     drainCommands    `cmd:"" help:"Drain an upstream, an availability zone or an instance."`
	Explain   explainCommand   `cmd:"" help:"Show what happened to a request, from the logs of instances."`
	Settings  settingsCommands `cmd:"" help:"Check settings files."`
	Keys      keysCommands     `cmd:"" help:"Create and check the certificates and keys of a firm."`
	Operators operatorCommands `cmd:"" help:"Manage operators' credentials."`
	Version   versionCommand   `cmd:"" help:"Show the version."`
}

// connectionFlags are the flags for connecting to the operators' API.
type connectionFlags struct {
	Endpoint       []string      `help:"Address of an instance's listener for operators; repeat the flag to add instances to try if it does not answer." placeholder:"HOST:PORT" env:"SYCAMORELEDGE_ENDPOINT"`
	Authority      string        `help:"PEM file with the firm's certificate authority." placeholder:"FILE" env:"SYCAMORELEDGE_AUTHORITY"`
	TokenFile      string        `help:"File with the operator's token; the token itself can be set in SYCAMORELEDGE_TOKEN." placeholder:"FILE" env:"SYCAMORELEDGE_TOKEN_FILE"`
	ClientSettings string        `help:"YAML file with endpoints, authority and token_file." placeholder:"FILE" env:"SYCAMORELEDGE_CLIENT_SETTINGS"`
	Timeout        time.Duration `help:"Timeout of one call to one instance." default:"8s"`
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	Operation string `help:"Operation id; to repeat a failed command safely, give its operation id." placeholder:"ID"`
	IfVersion int64  `help:"Make the change only if the configuration has this version." placeholder:"N"`
}

// change returns the change, and generates an operation id if none was given.
func (f *changeFlags) change() client.Change {
	if f.Operation == "" {
		f.Operation = client.NewOperation()
	}
	return client.Change{Operation: f.Operation, IfVersion: f.IfVersion}
}

// withOperation adds the operation id to an error; nil stays nil.
func (f *changeFlags) withOperation(err error) error {
	if err == nil {
		return nil
	}
	return &changeError{error: err, operation: f.Operation}
}

const exitCodeHelp = `Exit codes:
  0  done
  1  failed: a file is not valid, or the daemon could not start
  2  usage: the command line is not valid
  3  refused: the instance refused the command; the message gives the reason
  4  conflict: another change was made first; nothing was changed
  5  unreachable: no instance answered, or the platform did not answer
  6  accepted, but not yet in force at all reachable instances (--wait)
`

// examples maps a command path to the examples shown below the command's help.
var examples = map[string]string{
	"": `  sycamoreledge status --endpoint 10.0.1.1:7443
  sycamoreledge preset use peak --wait
  sycamoreledge drain upstream status-east-a-3`,
	"entry":          `  sycamoreledge entry --settings /etc/sycamoreledge/settings.yaml`,
	"serve":          `  sycamoreledge serve --settings /etc/sycamoreledge/local.toml`,
	"status":         `  sycamoreledge status --explain`,
	"preset":         `  sycamoreledge preset list`,
	"preset list":    `  sycamoreledge preset list --output json`,
	"preset show":    `  sycamoreledge preset show peak > peak.yaml`,
	"preset apply":   `  sycamoreledge preset apply -f peak.yaml`,
	"preset use":     `  sycamoreledge preset use peak --wait`,
	"preset history": `  sycamoreledge preset history --limit 10`,
	"drain":          `  sycamoreledge drain zone east-a`,
	"drain upstream": `  sycamoreledge drain upstream status-east-a-3
  sycamoreledge drain upstream status-east-a-3 --undo`,
	"drain zone":     `  sycamoreledge drain zone east-a --undo`,
	"drain entry":    `  sycamoreledge drain entry e1   # planned stop of the instance`,
	"explain":        `  sycamoreledge explain --request 9c41d07be2a35f68 front-*.log`,
	"settings check": `  sycamoreledge settings check /etc/sycamoreledge/settings.yaml`,
	"keys init":      `  sycamoreledge keys init --dir keys --firm "Lantern Mount"`,
	"keys issue":     `  sycamoreledge keys issue e1 --dir keys --host 10.0.1.1`,
	"keys check":     `  sycamoreledge keys check /etc/sycamoreledge/settings.yaml`,
	"operators add":  `  sycamoreledge operators add ada --file operators.yaml --token-file ada.token`,
}

// helpWithExamples prints kong's default help, the command's examples and the exit
// codes.
func helpWithExamples(options kong.HelpOptions, ctx *kong.Context) error {
	if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
		return err
	}
	if text, ok := examples[commandPath(ctx)]; ok {
		fmt.Fprintf(ctx.Stdout, "\nExamples:\n%s\n", text)
	}
	fmt.Fprintf(ctx.Stdout, "\n%s", exitCodeHelp)
	return nil
}

// commandPath returns the names of the selected commands, separated by spaces.
func commandPath(ctx *kong.Context) string {
	path := ""
	for _, element := range ctx.Path {
		if element.Command == nil {
			continue
		}
		if path != "" {
			path += " "
		}
		path += element.Command.Name
	}
	return path
}
