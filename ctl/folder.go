package ctl

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"laburnumgw/lib/config"
)

const (
	// baseFile is a hidden file in a configuration folder. It holds the generation from which
	// the files of the folder were edited. Without it, apply could overwrite the changes of
	// other operators.
	baseFile         = ".laburnumctl-base"
	filePermission   = 0o644
	folderPermission = 0o755
)

func readFolder(folder string) ([]config.File, error) {
	return config.ReadFolder(os.DirFS(folder))
}

// readBase returns the base generation of a folder, and false if the folder has none.
func readBase(folder string) (uint64, bool, error) {
	content, err := os.ReadFile(filepath.Join(folder, baseFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("read base generation: %w", err)
	}
	base, err := strconv.ParseUint(strings.TrimSpace(string(content)), 10, 64)
	if err != nil {
		return 0, false, fmt.Errorf("read base generation from %s: %w; pull into an empty folder and repeat the edit there", baseFile, err)
	}
	return base, true, nil
}

func writeBase(folder string, generation uint64) error {
	content := []byte(strconv.FormatUint(generation, 10) + "\n")
	if err := os.WriteFile(filepath.Join(folder, baseFile), content, filePermission); err != nil {
		return fmt.Errorf("write base generation: %w", err)
	}
	return nil
}

// writeFolder replaces the configuration files of a folder and records their generation as
// its base. Without force it fails if the folder holds configuration files, because they may
// contain unapplied edits.
func writeFolder(folder string, files []config.File, generation uint64, force bool) error {
	if err := os.MkdirAll(folder, folderPermission); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	existing, err := os.ReadDir(folder)
	if err != nil {
		return fmt.Errorf("read folder: %w", err)
	}
	for _, entry := range existing {
		if entry.IsDir() || !config.ValidFileName(entry.Name()) {
			continue
		}
		if !force {
			return &usageError{text: fmt.Sprintf("folder %s already holds %s; pull into an empty folder, or replace the files with --force", folder, entry.Name())}
		}
		if err := os.Remove(filepath.Join(folder, entry.Name())); err != nil {
			return fmt.Errorf("replace file: %w", err)
		}
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(folder, file.Name), file.Content, filePermission); err != nil {
			return fmt.Errorf("write file: %w", err)
		}
	}
	return writeBase(folder, generation)
}
