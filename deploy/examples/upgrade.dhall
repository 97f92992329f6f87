-- Upgrade under load: `pipitcrank serve --operators deploy/examples/upgrade.dhall`, then SIGUSR2 to that process (or
-- `pipitcrank upgrade --pid PID`) starts the program anew from its path and hands all over to it.
let Operators = ../operators.dhall

in  Operators::{ upgrade = Some Operators.Upgrade.default }
