package main

import (
	"io"
	"os"
	"strings"

	"mintspring/internal/cli"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/platform"
)

// configEnv is the environment variable with the path of the platform's configuration file.
const configEnv = "LB_CONFIG"

// fileFlags are the flags for the two files that configure a node.
type fileFlags struct {
	Config   string `help:"The platform's configuration; by default the file that LB_CONFIG names." placeholder:"FILE"`
	Operator string `help:"The operator's file; without one everything in it is off." placeholder:"FILE"`
}

// getenv returns the value of an environment variable. The flag --config takes precedence over LB_CONFIG.
func (f fileFlags) getenv(name string) string {
	if name == configEnv && f.Config != "" {
		return f.Config
	}
	return os.Getenv(name)
}

// readOperatorFile reads the operator's file for a command other than run, and prints a warning for each deprecated name in it.
func readOperatorFile(name string, warnings io.Writer) (*operatorfile.File, error) {
	operator, err := operatorfile.Read(name)
	if err != nil {
		return nil, err
	}
	p := cli.NewPrinter(warnings)
	p.PrintDeprecated(name, operator.Deprecated)
	return operator, p.Err()
}

type checkCmd struct{ fileFlags }

// Run prints every error in the files, or a summary of the configuration.
func (c *checkCmd) Run() error { return checkFiles(c.fileFlags, os.Stdout) }

func checkFiles(f fileFlags, out io.Writer) error {
	p := cli.NewPrinter(out)
	config, configErr := platform.Load(f.getenv)
	operator, operatorErr := operatorfile.Read(f.Operator)
	if err := p.PrintFileErrors(configErr, operatorErr); err != nil {
		return err
	}
	p.PrintDeprecated(f.Operator, operator.Deprecated)
	enabledSections := "nothing"
	if names := operator.EnabledSections(); len(names) > 0 {
		enabledSections = strings.Join(names, ", ")
	}
	adminPort := "no admin port"
	if config.Admin != "" {
		adminPort = "admin port " + config.Admin
	}
	p.Printf("node %s listens on %s, %s, discovery at %s, %d request classes, %d zones; on by the operator's file: %s\n", config.Name,
		config.Listen, adminPort, config.Discovery, len(config.Deployment.RequestClasses), len(config.Deployment.Zones), enabledSections)
	return p.Err()
}
