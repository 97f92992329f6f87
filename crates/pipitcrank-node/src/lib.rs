//! What the co-ordinator on sockets is made of, one job a file.

pub mod awake;
pub mod charter;
pub mod clock;
pub mod closing;
pub mod counters;
pub mod discovery;
pub mod ends;
pub mod exchange;
pub mod frames;
pub mod front;
pub mod gate;
pub mod hall;
pub mod leaves;
pub mod objects;
pub mod relay;
pub mod reload;
pub mod serve;
pub mod tap;
pub mod visits;
pub mod wire;
pub mod worker;
