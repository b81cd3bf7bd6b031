mod messages;
