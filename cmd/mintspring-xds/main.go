// Mintspring-xds is the control plane. It polls the endpoint list, runs the decision module on the load reports of proxies, and sends
// proxies the ring with its adjusted points and the states of the servers over xDS.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"mintspring/internal/config/platform"
	"mintspring/internal/version"
)

const (
	programName = "mintspring-xds"
	description = "A control plane for proxies in front of fleets of cache servers."

	// configVariable is the environment variable that names the configuration.
	configVariable = "LB_CONFIG"
)

// commandLine is the command line. The default command is run.
type commandLine struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run the control plane (also without a command)."`
	Check   checkCmd   `cmd:"" help:"Check the configuration and the operator file, and show what would be in effect."`
	Show    showCmd    `cmd:"" help:"Show what a proxy gets from a control plane."`
	Version versionCmd `cmd:"" help:"Show which build this is."`
}

// configFiles are the flags that name the two configuration files of the control plane.
type configFiles struct {
	Config   string `help:"The configuration, as a node has it; LB_CONFIG names it otherwise." placeholder:"FILE"`
	Operator string `help:"The control plane's operator file, as deploy/control.toml." placeholder:"FILE"`
}

// readConfiguration reads the configuration that the flag names, or else the environment variable.
func (f configFiles) readConfiguration() (*platform.Config, error) {
	return platform.Load(func(name string) string {
		if name == configVariable && f.Config != "" {
			return f.Config
		}
		return os.Getenv(name)
	})
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(1)
	}
}

// run parses the command line and runs the command. SIGINT and SIGTERM cancel the context of the command.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser := kong.Parse(&commandLine{}, kong.Name(programName), kong.Description(description), kong.BindTo(ctx, (*context.Context)(nil)))
	return parser.Run()
}

type versionCmd struct{}

// Run prints the build of the program.
func (*versionCmd) Run() error {
	_, err := fmt.Println(version.Describe(programName))
	return err
}
