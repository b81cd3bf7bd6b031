//! Changes of a team's keys and quota in the text of a template.
//!
//! The text is edited line by line, so that the comments and the layout of its author stay. After an
//! edit, the text is parsed again: an edit that would change anything else is refused.

use quick_error::quick_error;
use team::{DigestText, KeyDigest, Quota, Team};

use crate::Template;

/// Spaces by which a block is indented that an edit adds.
const INDENT: usize = 2;

quick_error! {
    /// Why a template was not edited.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EditError {
        /// The template cannot be parsed.
        Invalid(findings: String) {
            display("the template is invalid:\n{}", findings)
        }
        /// The template does not list the team.
        UnknownTeam(team: String) {
            display("the template lists no team {}", team)
        }
        /// The team has no key with this fingerprint, or several.
        UnknownKey(fingerprint: String) {
            display("the team has not exactly one key with the fingerprint {}", fingerprint)
        }
        /// The layout of the text is not one that can be edited line by line.
        Layout {
            display("the template's layout cannot be edited automatically: \
                     change its file and use `oatcove template apply`")
        }
    }
}

/// A change of one team.
#[derive(Clone, Debug, PartialEq)]
pub enum TeamEdit {
    /// Adds a key.
    AddKey(KeyDigest),
    /// Removes the key with this fingerprint.
    RevokeKey(String),
    /// Sets the quota.
    SetQuota(Quota),
}

/// Returns the text of a template with a change of `team`.
///
/// # Errors
///
/// Returns an [`EditError`]; see there.
pub fn edit_team(text: &str, team: &str, edit: &TeamEdit) -> Result<String, EditError> {
    let before = parse(text)?;
    if !before.teams.contains_key(team) {
        return Err(EditError::UnknownTeam(team.to_owned()));
    }
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let empty = format!("{team}: {{}}");
    lines.iter_mut().filter(|line| line.trim() == empty).for_each(|line| {
        // The mapping gets entries.
        line.truncate(line.trim_end().len() - " {}".len());
    });
    let block = Block::of_team(&lines, team).ok_or(EditError::Layout)?;
    match edit {
        TeamEdit::AddKey(key) => add_key(&mut lines, &block, *key)?,
        TeamEdit::RevokeKey(fingerprint) => {
            let key = key_of(&before, team, fingerprint)?;
            remove_key(&mut lines, &block, key)?;
        }
        TeamEdit::SetQuota(quota) => {
            set_scalar(&mut lines, &block, "rate_per_s", quota.rate_per_s);
            // The first line may have been added, so that the block is one line longer.
            let block = Block::of_team(&lines, team).ok_or(EditError::Layout)?;
            set_scalar(&mut lines, &block, "burst", quota.burst);
        }
    }
    let edited = lines.join("\n") + "\n";
    match parse(&edited)? == expected(before, team, edit) {
        true => Ok(edited),
        false => Err(EditError::Layout),
    }
}

fn parse(text: &str) -> Result<Template, EditError> {
    Template::parse(text).map_err(|findings| EditError::Invalid(findings.to_string()))
}

/// Returns the template that an edit must result in.
fn expected(mut template: Template, team: &str, edit: &TeamEdit) -> Template {
    let mut teams: Vec<Team> = template.access.iter().map(|team| Team::clone(team)).collect();
    if template.access.is_empty() {
        // Without any key, the template's teams are not listed there yet.
        teams = template.teams.keys().map(|name| without_keys(name)).collect();
    }
    if let Some(changed) = teams.iter_mut().find(|other| other.name == team) {
        match edit {
            TeamEdit::AddKey(key) => changed.keys.push(*key),
            TeamEdit::RevokeKey(fingerprint) => {
                changed.keys.retain(|key| key.to_string() != *fingerprint)
            }
            TeamEdit::SetQuota(quota) => changed.quota = Some(*quota),
        }
    }
    template.access = team::Teams::new(teams, []).unwrap_or_default();
    template
}

fn without_keys(name: &str) -> Team {
    Team { name: name.into(), keys: Vec::new(), priority: 0, quota: None }
}

fn key_of(template: &Template, team: &str, fingerprint: &str) -> Result<KeyDigest, EditError> {
    let keys = template.access.by_name(team).map_or(&[][..], |team| &team.keys);
    let mut found = keys.iter().filter(|key| key.to_string() == fingerprint);
    match (found.next(), found.next()) {
        (Some(key), None) => Ok(*key),
        _ => Err(EditError::UnknownKey(fingerprint.to_owned())),
    }
}

/// The lines of one team.
struct Block {
    /// Index of the line with the team's name.
    head: usize,
    /// Index after the last line.
    end: usize,
    /// Indentation of the team's name.
    indent: usize,
}

impl Block {
    /// Returns the block of a team in the mapping `teams`; `None` if both are not block mappings.
    fn of_team(lines: &[String], team: &str) -> Option<Block> {
        let teams = lines.iter().position(|line| is_head(line, 0, "teams"))?;
        let end = end_of_block(lines, teams, 0);
        let indent = lines[teams + 1..end].iter().find(|line| !is_blank(line)).map(|l| depth(l))?;
        let head = (teams + 1..end).find(|index| is_head(&lines[*index], indent, team))?;
        Some(Block { head, end: end_of_block(lines, head, indent).min(end), indent })
    }

    /// Returns the index of the line of the block that begins with `name`.
    fn line_of(&self, lines: &[String], name: &str) -> Option<usize> {
        (self.head + 1..self.end).find(|index| {
            let line = lines[*index].trim_start();
            line.strip_prefix(name).is_some_and(|rest| rest.starts_with(':'))
        })
    }

    /// Returns the indentation of the entries of the block.
    fn entry_indent(&self, lines: &[String]) -> usize {
        let entries = lines[self.head + 1..self.end].iter().find(|line| !is_blank(line));
        entries.map_or(self.indent + INDENT, |line| depth(line))
    }
}

/// Returns true for a line that begins the block mapping `name` at `indent`.
fn is_head(line: &str, indent: usize, name: &str) -> bool {
    let rest = line.trim_start().strip_prefix(name).and_then(|rest| rest.strip_prefix(':'));
    depth(line) == indent
        && rest.is_some_and(|rest| rest.trim().is_empty() || rest.trim_start().starts_with('#'))
}

fn is_blank(line: &str) -> bool {
    let line = line.trim_start();
    line.is_empty() || line.starts_with('#')
}

fn depth(line: &str) -> usize {
    line.len() - line.trim_start_matches(' ').len()
}

/// Returns the index after the last line that is indented deeper than the line at `head`.
fn end_of_block(lines: &[String], head: usize, indent: usize) -> usize {
    let is_inside = |line: &&String| is_blank(line) || depth(line) > indent;
    let mut end = head + 1 + lines[head + 1..].iter().take_while(is_inside).count();
    while end > head + 1 && is_blank(&lines[end - 1]) {
        end -= 1;
    }
    end
}

fn add_key(lines: &mut Vec<String>, block: &Block, key: KeyDigest) -> Result<(), EditError> {
    let text = DigestText(key).to_string();
    let indent = block.entry_indent(lines);
    let Some(keys) = block.line_of(lines, "keys") else {
        let item = format!("{:1$}- {text}", "", indent + INDENT);
        lines.splice(block.head + 1..block.head + 1, [format!("{:indent$}keys:", ""), item]);
        return Ok(());
    };
    if let Some(end) = lines[keys].rfind(']') {
        let is_empty = lines[keys][..end].trim_end().ends_with('[');
        lines[keys].insert_str(end, &if is_empty { text } else { format!(", {text}") });
        return Ok(());
    }
    let items = lines[keys + 1..block.end].iter().take_while(|l| l.trim_start().starts_with("- "));
    match items.last() {
        Some(last) => {
            let item = format!("{:1$}- {text}", "", depth(last));
            let count = lines[keys + 1..block.end]
                .iter()
                .take_while(|l| l.trim_start().starts_with("- "))
                .count();
            lines.insert(keys + 1 + count, item);
            Ok(())
        }
        None => Err(EditError::Layout),
    }
}

fn remove_key(lines: &mut Vec<String>, block: &Block, key: KeyDigest) -> Result<(), EditError> {
    let text = DigestText(key).to_string();
    let lower = |line: &str| line.to_ascii_lowercase();
    let found = (block.head + 1..block.end).find(|index| lower(&lines[*index]).contains(&text));
    let index = found.ok_or(EditError::Layout)?;
    let line = lower(&lines[index]);
    let list = line.find('[').zip(line.rfind(']'));
    match list {
        Some((start, end)) => {
            let items = lines[index][start + 1..end].split(',').map(str::trim);
            let kept: Vec<&str> = items.filter(|item| !lower(item).contains(&text)).collect();
            let kept = format!("[{}", kept.join(", "));
            lines[index] = [&lines[index][..start], &kept, &lines[index][end..]].concat();
        }
        None => {
            lines.remove(index);
            let keys = block.line_of(lines, "keys").ok_or(EditError::Layout)?;
            let has_items =
                lines.get(keys + 1).is_some_and(|line| line.trim_start().starts_with("- "));
            if !has_items {
                lines[keys] = format!("{:1$}keys: []", "", depth(&lines[keys]));
            }
        }
    }
    Ok(())
}

fn set_scalar(lines: &mut Vec<String>, block: &Block, name: &str, value: f64) {
    let indent = block.entry_indent(lines);
    let line = format!("{:indent$}{name}: {value}", "");
    match block.line_of(lines, name) {
        Some(index) => {
            let comment = lines[index].find(" #").map(|at| lines[index][at..].to_owned());
            lines[index] = line + comment.as_deref().unwrap_or_default();
        }
        None => lines.insert(block.head + 1, line),
    }
}

#[cfg(test)]
mod tests;
