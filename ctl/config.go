package ctl

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/errkind"
)

// folderArgument is the FOLDER argument of a command.
type folderArgument struct {
	Folder flags.Filename `positional-arg-name:"FOLDER" required:"yes" description:"folder of YAML files"`
}

// addConfig adds the commands for configuration.
func addConfig(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("config", "Check, compare and apply configuration",
		"Checks a folder of YAML files, compares it with the accepted configuration, and applies it.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"check", "Check a folder", "Checks a folder without the platform and lists all problems.", &configCheck{session: session}},
		{"diff", "Compare a folder with the accepted configuration",
			"Lists the effective settings that an apply of the folder would change.", &configDiff{session: session}},
		{"apply", "Apply a folder", "Makes a folder the next generation, unless another operator changed the configuration since the base.",
			&configApply{session: session}},
		{"pull", "Fetch the accepted files", "Writes the accepted files and their generation, the base of the next apply, into a folder.",
			&configPull{session: session}},
		{"show", "Show effective settings", "Lists effective settings, defaults included, with the file and line that set them.",
			&configShow{session: session}},
		{"origin", "Show where a setting comes from", "Prints the value of one setting and the file and line that set it.",
			&configOrigin{session: session}},
	} {
		if _, err := command.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

// acceptedFiles returns the generation and the files of the accepted configuration. The
// generation is 0 if no configuration was accepted yet.
func (s *Session) acceptedFiles() (uint64, []config.File, error) {
	store, err := s.Store()
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := s.Context()
	defer cancel()
	generation, files, err := configstore.NewClient(store).ReadFiles(ctx)
	if errkind.Is(err, errkind.NotFound) {
		return 0, nil, nil
	}
	return generation, files, err
}

type configCheck struct {
	session *Session
	Args    folderArgument `positional-args:"yes"`
}

// Execute checks the folder.
func (c *configCheck) Execute([]string) error {
	files, err := readFolder(string(c.Args.Folder))
	if err != nil {
		return err
	}
	snapshot, err := config.Parse(files)
	if err != nil {
		return err
	}
	result := struct {
		Files    int `json:"files"`
		Settings int `json:"settings"`
	}{len(files), len(snapshot.Values())}
	return c.session.Output().Print(result, Table{Summary: fmt.Sprintf("valid: %d files, %d effective settings", result.Files, result.Settings)})
}

type configDiff struct {
	session *Session
	Args    folderArgument `positional-args:"yes"`
}

// Execute compares the folder with the accepted configuration.
func (c *configDiff) Execute([]string) error {
	files, err := readFolder(string(c.Args.Folder))
	if err != nil {
		return err
	}
	after, err := config.Parse(files)
	if err != nil {
		return err
	}
	generation, acceptedFiles, err := c.session.acceptedFiles()
	if err != nil {
		return err
	}
	before, err := config.Parse(acceptedFiles)
	if err != nil {
		return err
	}
	changes := config.Diff(before, after)
	table := Table{Header: []string{"SETTING", "ACCEPTED", "FOLDER", "ORIGIN"}}
	for _, change := range changes {
		table.Rows = append(table.Rows, changeRow(change))
	}
	table.Summary = fmt.Sprintf("%d settings differ from generation %d", len(changes), generation)
	result := struct {
		Generation uint64          `json:"generation"`
		Changes    []config.Change `json:"changes"`
	}{generation, changes}
	return c.session.Output().Print(result, table)
}

func changeRow(change config.Change) []string {
	before, after, origin := "-", "-", ""
	if change.Before != nil {
		before = change.Before.Text
		origin = change.Before.Origin.String()
	}
	if change.After != nil {
		after = change.After.Text
		origin = change.After.Origin.String()
	}
	return []string{change.Path, before, after, origin}
}

type configApply struct {
	session *Session
	Base    *uint64        `long:"base" value-name:"GENERATION" description:"generation from which the files were edited (default: the one that pull or apply recorded)"`
	Args    folderArgument `positional-args:"yes"`
}

// Execute applies the folder.
func (c *configApply) Execute([]string) error {
	folder := string(c.Args.Folder)
	files, err := readFolder(folder)
	if err != nil {
		return err
	}
	if _, err := config.Parse(files); err != nil {
		return err
	}
	base, err := c.base(folder)
	if err != nil {
		return err
	}
	store, err := c.session.Store()
	if err != nil {
		return err
	}
	ctx, cancel := c.session.Context()
	defer cancel()
	applied, err := configstore.Apply(ctx, store, files, base, c.session.Operator())
	if err != nil {
		return err
	}
	if err := writeBase(folder, applied.Generation); err != nil {
		return err
	}
	return c.session.printApplied(applied)
}

// base returns the generation from which the folder was edited: the value of --base, or else
// the generation recorded in the folder. It is 0 if there is neither, so that such a folder
// can only become the first configuration.
func (c *configApply) base(folder string) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	base, _, err := readBase(folder)
	return base, err
}

func (s *Session) printApplied(applied configstore.ApplyResult) error {
	summary := fmt.Sprintf("generation %d accepted", applied.Generation)
	if applied.Unchanged {
		summary = fmt.Sprintf("generation %d already holds these files", applied.Generation)
	}
	return s.Output().Print(applied, Table{Summary: summary})
}

type configPull struct {
	session *Session
	Force   bool           `long:"force" description:"replace the configuration files of the folder"`
	Args    folderArgument `positional-args:"yes"`
}

// Execute writes the accepted files into the folder.
func (c *configPull) Execute([]string) error {
	generation, files, err := c.session.acceptedFiles()
	if err != nil {
		return err
	}
	if err := writeFolder(string(c.Args.Folder), files, generation, c.Force); err != nil {
		return err
	}
	result := struct {
		Generation uint64 `json:"generation"`
		Files      int    `json:"files"`
	}{generation, len(files)}
	return c.session.Output().Print(result, Table{Summary: fmt.Sprintf("%d files of generation %d", len(files), generation)})
}

// configSource selects the configuration that a command shows: the accepted one or a folder.
type configSource struct {
	Folder flags.Filename `long:"folder" value-name:"FOLDER" description:"show a folder in place of the accepted configuration"`
}

func (s configSource) snapshot(session *Session) (*config.Snapshot, error) {
	if s.Folder == "" {
		_, files, err := session.acceptedFiles()
		if err != nil {
			return nil, err
		}
		return config.Parse(files)
	}
	files, err := readFolder(string(s.Folder))
	if err != nil {
		return nil, err
	}
	return config.Parse(files)
}

type configShow struct {
	session *Session
	configSource
	Args struct {
		Path string `positional-arg-name:"PATH" description:"show this setting and those below it"`
	} `positional-args:"yes"`
}

// Execute lists the settings.
func (c *configShow) Execute([]string) error {
	snapshot, err := c.snapshot(c.session)
	if err != nil {
		return err
	}
	values := snapshot.Values()
	if c.Args.Path != "" {
		values = snapshot.ValuesUnder(c.Args.Path)
	}
	if len(values) == 0 {
		return errNoSetting(c.Args.Path)
	}
	table := Table{Header: []string{"SETTING", "VALUE", "ORIGIN"}}
	for _, value := range values {
		table.Rows = append(table.Rows, []string{value.Path, value.Text, value.Origin.String()})
	}
	return c.session.Output().Print(values, table)
}

func errNoSetting(path string) error {
	return errkind.New(errkind.NotFound, "list all settings with: laburnumctl config show", "the configuration has no setting %q", path)
}

type configOrigin struct {
	session *Session
	configSource
	Args struct {
		Path string `positional-arg-name:"PATH" required:"yes" description:"setting, such as models.rota.version"`
	} `positional-args:"yes"`
}

// Execute prints the origin of the setting.
func (c *configOrigin) Execute([]string) error {
	snapshot, err := c.snapshot(c.session)
	if err != nil {
		return err
	}
	value, ok := snapshot.Value(c.Args.Path)
	if !ok {
		return errNoSetting(c.Args.Path)
	}
	return c.session.Output().Print(value, Table{Summary: fmt.Sprintf("%s = %s (%s)", value.Path, value.Text, value.Origin)})
}
