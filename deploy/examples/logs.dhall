-- Logs as JSON objects, with what the leaf side does in detail.
let Operators = ../operators.dhall

in  Operators::{ logs = Some { json = True, levels = "info,pipitcrank_server::leaves=debug" } }
