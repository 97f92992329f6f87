-- Logs as JSON objects, with what the replica side does in detail.
let Operators = ../operators.dhall

in  Operators::{ logs = Some { json = True, levels = "info,pipitcrank_server::replicas=debug" } }
