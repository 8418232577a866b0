#include "daemons/command_line.hpp"

DEFINE_string(settings, "", "settings file: JSON with comments, see docs/settings.md");
DEFINE_bool(check_settings, false, "check the settings file and exit");
