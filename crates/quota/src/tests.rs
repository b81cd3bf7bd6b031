mod bounds;
mod comparison;
mod decisions;
mod fleet;
mod messages;
