//! The dispatcher process: owns endpoints, their slots and connections.
