//! Service-level burn: how fast a service spends its error budget over several windows.
