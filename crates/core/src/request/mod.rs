//! The course of one request over its attempts.
