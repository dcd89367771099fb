//! Prints the field tables of docs/CONFIGURATION.md.

use fighall_config::tables::DOCUMENT_TABLES;
use fighall_entry::settings::SETTINGS_TABLE;
use fighall_gateway::settings::SETTINGS_TABLE as GATEWAY_TABLE;
use fighall_tools::loading::{EXPERIMENT_TABLE, STREAM_TABLE};

fn main() {
    println!("{}", SETTINGS_TABLE.section());
    println!("{}", GATEWAY_TABLE.section());
    println!("@");
    for table in DOCUMENT_TABLES {
        println!("{}", table.section());
    }
    println!("@");
    println!("{}", EXPERIMENT_TABLE.section());
    println!("{}", STREAM_TABLE.section());
}
